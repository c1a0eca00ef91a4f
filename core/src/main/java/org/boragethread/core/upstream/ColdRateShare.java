package org.boragethread.core.upstream;

import java.time.Duration;
import org.boragethread.core.member.PartitionLease;
import org.boragethread.model.routing.RoutedGroup;
import org.boragethread.model.upstream.UpstreamId;

/** This process's share of the call rate that a cold upstream can take from all entries. */
public final class ColdRateShare {

    /** Longer than one second, because calls sent in one second may arrive in less than one. */
    static final Duration WINDOW = Duration.ofMillis(1200);

    private final ColdRateBound mBound;
    private final PartitionLease mLease;

    /**
     * Bound on the calls per second that a cold upstream may get from all entries together.
     *
     * @param overshoot multiple of the configured rate that may arrive
     * @param slack calls per second that may arrive in addition
     */
    public record ColdRateBound(double overshoot, double slack) {

        /** Returns the whole calls per second that may arrive at a cold upstream of a group. */
        public int callsPerSecond(RoutedGroup group) {
            return (int) (group.coldRate() * overshoot + slack);
        }
    }

    /** Creates the share of the process that holds the given lease. */
    public ColdRateShare(ColdRateBound bound, PartitionLease lease) {
        mBound = bound;
        mLease = lease;
    }

    /** Returns whether calls to cold upstreams of a group are limited. */
    public boolean isLimited(RoutedGroup group) {
        return group.coldRate() > 0;
    }

    /** Returns the calls that this process may send to a cold upstream within {@link #WINDOW}. */
    public int calls(RoutedGroup group, UpstreamId upstream) {
        return mLease.units("cold/" + upstream.value(), mBound.callsPerSecond(group), WINDOW);
    }
}
