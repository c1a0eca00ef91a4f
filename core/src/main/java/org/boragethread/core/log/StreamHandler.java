package org.boragethread.core.log;

import java.util.concurrent.CompletableFuture;

/** Receives the records of one stream from a {@link StreamFollower}, one call at a time. */
public interface StreamHandler {

    /**
     * Receives the next records, without gaps.
     *
     * @param batch the answer of the log; it may hold no records
     * @param caughtUp whether the batch ends at the stream's newest record
     */
    void onBatch(LogBatch batch, boolean caughtUp);

    /**
     * Is told that the next wanted record is no longer kept.
     *
     * @return the offset to go on from, after the owner has loaded a snapshot; the follower asks
     *     again later if it is still below the oldest kept offset
     */
    CompletableFuture<Long> onExpired(LogError.Expired expired);
}
