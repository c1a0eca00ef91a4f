package org.boragethread.core.pipeline;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.pipeline.Stage;

/** Decides whether a failed attempt is followed by another. */
public interface AttemptPolicy {

    /**
     * Decides after a failed attempt.
     *
     * @param stage the stage
     * @param refusal why the attempt failed; its {@code ran} is about this attempt alone
     * @param attempts attempts made so far at this stage
     * @param remaining time until the deadline
     * @return the time to wait before the next attempt, or empty to give up
     */
    Optional<Duration> nextAttempt(Stage stage, Refusal refusal, int attempts, Duration remaining);
}
