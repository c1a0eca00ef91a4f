package org.boragethread.core.stage;

/**
 * How urgent a piece is.
 *
 * @param priority rank of its request; 0 is the most urgent
 * @param targetNanos monotonic time by which the piece should be made for its request to be
 *     answered in time
 * @param holdsInputs whether results of earlier stages occupy scarce memory until it is made
 * @param followed whether other stages need its result
 */
public record PieceUrgency(int priority, long targetNanos, boolean holdsInputs, boolean followed) {

    /**
     * Ranks that a late request steps back: behind the next rank in time, but not behind all less
     * urgent ones, since its answer is still wanted.
     */
    private static final double LATE_STEP = 1.5;

    /**
     * Returns the place of the piece among others; lower ones go first. A request that will be late
     * anyway steps back.
     *
     * @param ownNanos time to make the piece
     */
    double rank(long now, long ownNanos) {
        return now + callsAhead() * ownNanos > targetNanos ? priority + LATE_STEP : priority;
    }

    /**
     * Tells whether what is left until the deadline is less than the calls ahead take, apart from
     * the last one, whose time the deadline of the piece leaves.
     */
    boolean isHopeless(long now, long ownNanos, long deadlineNanos) {
        return now + (callsAhead() - 1) * ownNanos >= deadlineNanos;
    }

    /**
     * Returns the calls that must fit the time left for a request to count as in time. The most
     * urgent of what is in time goes first, so without reserve it would end just too late: a call
     * may have to be waited for in this group, and one in the next. Nothing is left in reserve once
     * inputs occupy scarce memory.
     */
    private int callsAhead() {
        if (holdsInputs) {
            return 1;
        }
        return followed ? 3 : 2;
    }
}
