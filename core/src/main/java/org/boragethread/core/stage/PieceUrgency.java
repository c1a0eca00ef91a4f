package org.boragethread.core.stage;

/**
 * How urgent a piece is.
 *
 * @param priority rank of its request; 0 is the most urgent
 * @param targetNanos monotonic time by which the piece should be made for its request to be
 *     answered in time
 * @param holdsInputs whether results of earlier stages occupy scarce memory until it is made
 */
public record PieceUrgency(int priority, long targetNanos, boolean holdsInputs) {

    /**
     * Ranks that a late request steps back: behind the next rank in time, but not behind all less
     * urgent ones, since its answer is still wanted.
     */
    private static final double LATE_STEP = 1.5;

    /**
     * Returns the place of the piece among others; lower ones go first. A request that will be late
     * anyway steps back, unless it holds inputs, since those would block others.
     *
     * @param ownNanos time to make the piece
     */
    double rank(long now, long ownNanos) {
        boolean late = now + ownNanos > targetNanos;
        return late && !holdsInputs ? priority + LATE_STEP : priority;
    }
}
