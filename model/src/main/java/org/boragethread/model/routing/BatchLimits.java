package org.boragethread.model.routing;

import java.time.Duration;

/**
 * What one upstream of a group does with calls that carry several pieces of work.
 *
 * @param slots calls in progress at the same time
 * @param queue calls that may wait
 * @param batch greatest number of pieces in one call
 * @param callTime time that a call takes, whatever it carries
 * @param pieceTime approximate additional time for each piece
 * @param resultBytes memory for results that have not been freed, in bytes
 * @param resultTime time for which a result is kept if it is not freed
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
