package org.boragethread.core.stage;

/**
 * What decides the scheduling order of a piece.
 *
 * @param priority priority of its request; 0 is the most urgent
 * @param targetNanos monotonic time by which the piece should be complete for its request to be
 *     answered in time
 * @param holdsInputs whether its inputs occupy scarce memory until it is complete
 * @param hasDependents whether other stages need its result
 * @param team team that its request belongs to; empty if it is not known
 * @param isContinuation whether work was done for its request before: the caller has a part of the
 *     stream, or its stages are run again
 */
public record PieceUrgency(
        int priority,
        long targetNanos,
        boolean holdsInputs,
        boolean hasDependents,
        String team,
        boolean isContinuation) {

    /**
     * Added to the priority of a request that will miss its target. The request then yields to
     * requests of the next lower priority that are in time, but not to all less urgent ones, since
     * its response is still wanted.
     */
    private static final double LATE_PENALTY = 1.5;

    /** Creates the urgency of a piece of a new stream whose team is not known. */
    public PieceUrgency(
            int priority, long targetNanos, boolean holdsInputs, boolean hasDependents) {
        this(priority, targetNanos, holdsInputs, hasDependents, "", false);
    }

    /**
     * Returns the priority used for scheduling; lower values go first. A request that will miss its
     * target anyway is deferred.
     *
     * @param callNanos duration of a call with this piece
     */
    double effectivePriority(long now, long callNanos) {
        return now + requiredCalls() * callNanos > targetNanos ? priority + LATE_PENALTY : priority;
    }

    /**
     * Returns whether the time left until the deadline is too short for the required calls. The
     * last of them is not counted, as the deadline of the piece already leaves time for it.
     */
    boolean cannotMeetDeadline(long now, long callNanos, long deadlineNanos) {
        return now + (requiredCalls() - 1) * callNanos >= deadlineNanos;
    }

    /**
     * Returns the number of calls that must fit into the time left for a request to count as in
     * time. Among pieces of one priority that are in time, the one with the earliest target is sent
     * first, so without a reserve it would end slightly late: it may have to wait for a call in
     * progress in this group, and its successors for one in the next group. There is no reserve
     * once inputs occupy scarce memory.
     */
    int requiredCalls() {
        if (holdsInputs) {
            return 1;
        }
        return hasDependents ? 3 : 2;
    }
}
