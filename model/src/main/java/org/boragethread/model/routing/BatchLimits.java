package org.boragethread.model.routing;

import java.time.Duration;

/**
 * Limits and timing of calls that carry several pieces of work to one upstream of a group.
 *
 * @param slots maximum number of concurrent calls
 * @param queue maximum number of queued calls
 * @param batch maximum number of pieces in one call
 * @param callTime fixed time that a call takes, independent of its pieces
 * @param pieceTime approximate additional time per piece
 * @param resultBytes memory for results that have not been freed, in bytes
 * @param resultTime time after which a result that was not freed is dropped
 */
public record BatchLimits(
        int slots,
        int queue,
        int batch,
        Duration callTime,
        Duration pieceTime,
        long resultBytes,
        Duration resultTime) {

    /** Returns the expected time of a call with the given number of pieces. */
    public Duration expectedTime(int pieces) {
        return callTime.plus(pieceTime.multipliedBy(pieces));
    }
}
