package org.boragethread.core.retry;

/** Baseline: no failed attempt is followed by another. */
public final class NoRetryPolicy implements RetryPolicy {

    @Override
    public RetryDecision decide(FailedAttempt attempt, RetryBudget budget) {
        return new RetryDecision.GiveUp(GiveUpReason.RETRIES_OFF);
    }
}
