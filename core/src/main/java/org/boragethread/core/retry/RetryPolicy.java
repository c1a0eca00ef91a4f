package org.boragethread.core.retry;

/**
 * Decides whether a failed attempt is retried. No implementation retries a stage that is not
 * idempotent and may have run. Implementations are thread-safe.
 */
public interface RetryPolicy {

    /**
     * Decides whether to retry, and charges the budget if so.
     *
     * @param budget retry budget of the upstream group of the stage
     */
    RetryDecision decide(FailedAttempt attempt, RetryBudget budget);
}
