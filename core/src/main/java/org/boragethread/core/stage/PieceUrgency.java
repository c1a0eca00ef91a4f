package org.boragethread.core.stage;

/**
 * How urgent a piece is.
 *
 * @param priority rank of its request; 0 is the most urgent
 * @param targetNanos monotonic time by which the piece should be made for its request to be
 *     answered in time
 */
public record PieceUrgency(int priority, long targetNanos) {}
