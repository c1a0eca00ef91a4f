package org.boragethread.core.deadline;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.pipeline.Pipeline;

/**
 * Decides whether a request can meet its deadline and how its remaining time is divided among the
 * stages of a pipeline. Implementations are thread-safe.
 */
public interface DeadlinePolicy {

    /**
     * Checks whether the remaining stages can complete before the deadline.
     *
     * @param stage index of the next stage, from 0
     * @param timeLeft time left until the request's deadline
     * @return a refusal if they cannot; it says that nothing ran, which the caller of this method
     *     must correct if an earlier stage had an effect
     */
    Optional<Refusal> check(Pipeline pipeline, int stage, Duration timeLeft);

    /**
     * Returns the time that a stage may use.
     *
     * @param stage index of the stage, from 0
     * @param timeLeft time left until the request's deadline
     */
    Duration stageTimeout(Pipeline pipeline, int stage, Duration timeLeft);
}
