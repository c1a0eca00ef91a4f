package org.boragethread.core.retry;

import java.time.Duration;
import java.util.Optional;

/** Baseline: tries again at once, up to a number of attempts and without a budget. */
public final class ImmediateRetryPolicy implements RetryPolicy {

    private final int mMaxAttempts;

    /**
     * Makes a policy.
     *
     * @param maxAttempts greatest number of attempts at a stage, the first included
     */
    public ImmediateRetryPolicy(int maxAttempts) {
        mMaxAttempts = maxAttempts;
    }

    @Override
    public RetryDecision decide(FailedAttempt attempt, RetryBudget budget) {
        Optional<GiveUpReason> forbidden = RetryRules.reasonToGiveUp(attempt, mMaxAttempts);
        if (forbidden.isPresent()) {
            return new RetryDecision.GiveUp(forbidden.get());
        }
        RetryReason reason = RetryReason.of(attempt.refusal().reason()).orElseThrow();
        return new RetryDecision.Retry(Duration.ZERO, reason);
    }
}
