package org.boragethread.core.upstream;

import org.boragethread.model.routing.RoutedGroup;

/**
 * This process's part of the calls a second that a cold upstream bears from all entries.
 *
 * @param overshoot multiple of the configured rate that may arrive
 * @param slack calls a second that may arrive besides
 * @param entries number of entries that share the rate; never less than there are
 */
public record ColdShare(double overshoot, double slack, int entries) {

    /** Returns the calls a second that this process may send to a cold upstream; 0 for no bound. */
    public int limit(RoutedGroup group) {
        if (group.coldRate() <= 0) {
            return 0;
        }
        return Math.max(1, (int) ((group.coldRate() * overshoot + slack) / entries));
    }
}
