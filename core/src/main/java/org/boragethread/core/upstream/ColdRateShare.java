package org.boragethread.core.upstream;

import org.boragethread.model.routing.RoutedGroup;

/**
 * This process's share of the call rate that a cold upstream can take from all entries.
 *
 * @param overshoot multiple of the configured rate that may arrive
 * @param slack calls per second that may arrive in addition
 * @param entries number of entries that share the rate; never less than the actual number
 */
public record ColdRateShare(double overshoot, double slack, int entries) {

    /**
     * Returns the calls per second that this process may send to a cold upstream; 0 for no limit.
     */
    public int limit(RoutedGroup group) {
        if (group.coldRate() <= 0) {
            return 0;
        }
        return Math.max(1, (int) ((group.coldRate() * overshoot + slack) / entries));
    }
}
