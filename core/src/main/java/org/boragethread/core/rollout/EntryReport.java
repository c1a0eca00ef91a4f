package org.boragethread.core.rollout;

/**
 * What an entry tells the coordinator of a group every {@link #PERIOD_MILLIS}, and at once when it
 * has read another state.
 *
 * @param address address of the entry
 * @param startedAt Unix time in milliseconds at which the entry started, as in its membership
 * @param sequence number that increases with each report of the same start
 * @param state newest state that the entry has read
 * @param oldInFlight requests of the entry that are in flight at versions other than the target
 * @param evidence totals since the entry read that the order is running
 */
public record EntryReport(
        String address,
        long startedAt,
        long sequence,
        RolloutState state,
        long oldInFlight,
        RolloutEvidence evidence) {

    /** Time between two reports, in milliseconds. */
    public static final long PERIOD_MILLIS = 500;
}
