package org.boragethread.core.retry;

import java.time.Duration;
import java.util.Optional;

/**
 * Baseline for comparison: retries at once, up to a maximum number of attempts and without a
 * budget.
 */
public final class ImmediateRetryPolicy implements RetryPolicy {

    private final int mMaxAttempts;

    /**
     * Creates a policy.
     *
     * @param maxAttempts maximum number of attempts at a stage, including the first
     */
    public ImmediateRetryPolicy(int maxAttempts) {
        mMaxAttempts = maxAttempts;
    }

    @Override
    public RetryDecision decide(FailedAttempt attempt, RetryBudget budget) {
        Optional<GiveUpReason> reasonNotToRetry = RetryRules.reasonToGiveUp(attempt, mMaxAttempts);
        if (reasonNotToRetry.isPresent()) {
            return new RetryDecision.GiveUp(reasonNotToRetry.get());
        }
        RetryReason reason = RetryReason.of(attempt.refusal().reason()).orElseThrow();
        return new RetryDecision.Retry(Duration.ZERO, reason);
    }
}
