package org.boragethread.core.log;

import java.util.concurrent.CompletableFuture;

/** Receives the records of one stream from a {@link StreamFollower}, one call at a time. */
public interface StreamHandler {

    /**
     * Handles the next records of the stream, without gaps.
     *
     * @param batch the result of the read; it may be empty
     * @param caughtUp whether the batch ends at the newest record of the stream
     */
    void onBatch(LogBatch batch, boolean caughtUp);

    /**
     * Called when the next record to read is no longer retained.
     *
     * @return the offset to resume from, completed after a snapshot has been loaded; the follower
     *     calls again later if the offset is still below the oldest retained one
     */
    CompletableFuture<Long> onExpired(LogError.Expired expired);
}
