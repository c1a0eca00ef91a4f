package org.boragethread.core.stage;

import java.util.List;

/** Takes the pieces of one upstream group that are to be made. */
public interface PieceQueue {

    /** Adds the pieces of one stage of one request. Each learns of its fate once. */
    void submit(List<PendingPiece> pieces);

    /** Returns the time that a stage of the given size takes when nothing waits, in nanoseconds. */
    long leastTime(int pieces);

    /**
     * Returns the time that a stage of the given size and rank takes at present, in nanoseconds.
     */
    long expectedTime(int pieces, int priority);

    /** Learns how long a stage of the given rank took, waiting included, in nanoseconds. */
    void onStageDone(long nanos, int priority);
}
