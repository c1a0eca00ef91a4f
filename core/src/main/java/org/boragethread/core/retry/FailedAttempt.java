package org.boragethread.core.retry;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.boragethread.model.outcome.Refusal;

/**
 * An attempt at a stage that had no good answer.
 *
 * @param refusal why, and whether this attempt may have run
 * @param idempotent whether the stage may run more than once for one request
 * @param attempts number of attempts at the stage so far, this one included
 * @param left time left to the stage
 * @param usual usual time of the stage, if it is known
 */
public record FailedAttempt(
        Refusal refusal,
        boolean idempotent,
        int attempts,
        Duration timeLeft,
        Optional<Duration> typicalTime) {

    public FailedAttempt {
        Objects.requireNonNull(refusal, "refusal");
        Objects.requireNonNull(timeLeft, "left");
        Objects.requireNonNull(typicalTime, "usual");
    }
}
