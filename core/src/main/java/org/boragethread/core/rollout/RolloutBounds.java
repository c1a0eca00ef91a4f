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

    /** A read that is lost must not take longer, however long the lifetime of the status is. */
    private static final Duration MAX_POLL_TIME = Duration.ofMillis(700);

    /**
     * Reads of the status in its lifetime. A read through a relay confirms the status as of up to
     * three long polls before the next one ends.
     */
    private static final int READS_PER_LIFETIME = 5;

    /** Returns the share of its first attempts that an entry may send to the target version. */
    public double entryShare() {
        return share * USED_PART;
    }

    /** Returns the time from sending the last successful read of the status until it is stale. */
    public Duration statusLifetime() {
        return rollbackTime.minus(DECISION_TIME);
    }

    /** Returns the long-poll time with which the status stays fresh while it can be read. */
    public Duration statusPollTime() {
        Duration longest = statusLifetime().dividedBy(READS_PER_LIFETIME);
        return longest.compareTo(MAX_POLL_TIME) < 0 ? longest : MAX_POLL_TIME;
    }
}
