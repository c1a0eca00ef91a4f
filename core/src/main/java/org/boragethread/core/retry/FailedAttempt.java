package org.boragethread.core.retry;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.boragethread.model.outcome.Refusal;

/**
 * An attempt at a stage that failed.
 *
 * @param refusal reason of the failure, and whether the attempt may have run
 * @param idempotent whether the stage may run more than once for one request
 * @param attempts number of attempts at the stage so far, including this one
 * @param timeLeft time left for the stage
 * @param typicalTime typical time of the stage, if known
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
