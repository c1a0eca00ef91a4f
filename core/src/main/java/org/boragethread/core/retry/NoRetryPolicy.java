package org.boragethread.core.retry;

/** Baseline for comparison: failed attempts are never retried. */
public final class NoRetryPolicy implements RetryPolicy {

    @Override
    public RetryDecision decide(FailedAttempt attempt, RetryBudget budget) {
        return new RetryDecision.GiveUp(GiveUpReason.RETRIES_OFF);
    }
}
