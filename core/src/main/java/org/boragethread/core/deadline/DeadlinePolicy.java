package org.boragethread.core.deadline;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.pipeline.Pipeline;

/** Shares a deadline over the stages of a pipeline. Safe for use by several threads. */
public interface DeadlinePolicy {

    /**
     * Checks whether the remaining stages can end in time.
     *
     * @param stage index of the next stage, from 0
     * @param left time left to the request
     * @return a refusal if they cannot; it says that nothing ran, which the caller of this method
     *     must correct if an earlier stage had an effect
     */
    Optional<Refusal> check(Pipeline pipeline, int stage, Duration left);

    /**
     * Returns how much of the time left a stage may use.
     *
     * @param stage index of the stage, from 0
     * @param left time left to the request
     */
    Duration stageTimeout(Pipeline pipeline, int stage, Duration left);
}
