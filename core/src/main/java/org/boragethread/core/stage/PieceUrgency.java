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
     * Tells whether the request will be late anyway, so that others should go first. A piece that
     * holds inputs does not step back, since those would block others.
     *
     * @param ownNanos time to make the piece
     */
    boolean stepsBack(long now, long ownNanos) {
        return !holdsInputs && now + ownNanos > targetNanos;
    }
}
