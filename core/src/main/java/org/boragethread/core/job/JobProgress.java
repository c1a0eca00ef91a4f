package org.boragethread.core.job;

import java.util.concurrent.CompletableFuture;

/** Records the progress of one run of a job. Futures never complete exceptionally. */
public interface JobProgress {

    /**
     * Records that a stage with an effect is about to be sent.
     *
     * @param stage index of the stage
     * @return true if the stage may be sent; false if the lease is lost or the log is unavailable,
     *     in which case the run must end with {@link JobRunOutcome.Later}
     */
    CompletableFuture<Boolean> effectStarting(int stage);

    /**
     * Records the result of a stage that is not the last.
     *
     * @param stage index of the stage
     * @param contentType media type of the result
     * @param result the stage's result, not copied
     * @return true if the result is recorded. After false the run may continue, but a later run may
     *     repeat the stage.
     */
    CompletableFuture<Boolean> stageDone(int stage, String contentType, byte[] result);
}
