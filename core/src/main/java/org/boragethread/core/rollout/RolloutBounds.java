package org.boragethread.core.rollout;

import java.time.Duration;

/**
 * Bounds of roll-outs, over all entries.
 *
 * @param share greatest share of a group's requests that a version on trial may get
 * @param rollbackTime time in which a bad version must be out of use everywhere
 * @param departureTime time after which an entry that ended has no request in flight: lifetime of
 *     the configuration lease plus the longest route timeout
 */
public record RolloutBounds(double share, Duration rollbackTime, Duration departureTime) {

    /** Part of the share that entries use; the rest covers requests that never reach the group. */
    private static final double USED_PART = 0.8;

    /** Time for reports, the decision and its distribution, within the time for a roll-back. */
    private static final Duration DECISION_TIME = Duration.ofMillis(1500);

    /** Returns the share of its first attempts that an entry may send to the target version. */
    public double entryShare() {
        return share * USED_PART;
    }

    /** Returns the time from sending the last successful read of the status until it is stale. */
    public Duration statusLifetime() {
        return rollbackTime.minus(DECISION_TIME);
    }
}
