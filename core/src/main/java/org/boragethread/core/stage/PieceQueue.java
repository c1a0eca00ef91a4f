package org.boragethread.core.stage;

import java.util.List;

/** Queue for pieces to be executed by one upstream group. */
public interface PieceQueue {

    /**
     * Adds the pieces of one stage of one request. The listener of each is notified of its outcome
     * once.
     */
    void submit(List<PendingPiece> pieces);

    /** Returns the time that a stage takes without queueing, in nanoseconds. */
    long minTime(int pieces);

    /** Returns the time that a stage currently takes, queueing included, in nanoseconds. */
    long expectedTime(int pieces, int priority);

    /** Returns the memory for results of one upstream, in bytes. */
    long resultMemory();

    /** Records how long a stage took, queueing included, in nanoseconds. */
    void onStageDone(long nanos, int priority);
}
