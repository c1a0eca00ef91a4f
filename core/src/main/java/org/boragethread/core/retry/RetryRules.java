package org.boragethread.core.retry;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.model.outcome.ExecutionStatus;

/** Rules that every retry policy must follow. */
final class RetryRules {

    private RetryRules() {}

    /** Returns why an attempt must not be retried under any policy; empty if it may be. */
    static Optional<GiveUpReason> reasonToGiveUp(FailedAttempt attempt, int maxAttempts) {
        if (!attempt.idempotent() && attempt.refusal().ran() != ExecutionStatus.NO) {
            return Optional.of(GiveUpReason.MAY_HAVE_RUN);
        }
        if (RetryReason.of(attempt.refusal().reason()).isEmpty()) {
            return Optional.of(GiveUpReason.NOT_RETRYABLE);
        }
        if (attempt.attempts() >= maxAttempts) {
            return Optional.of(GiveUpReason.ATTEMPTS_EXHAUSTED);
        }
        if (attempt.timeLeft().compareTo(Duration.ZERO) <= 0) {
            return Optional.of(GiveUpReason.NO_TIME);
        }
        return Optional.empty();
    }
}
