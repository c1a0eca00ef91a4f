package org.boragethread.core.retry;

/**
 * Decides whether a failed attempt is followed by another. Every implementation refuses to run a
 * stage again that is not idempotent and may have run. Safe for use by several threads.
 */
public interface RetryPolicy {

    /**
     * Decides, and takes from the budget if the decision is to try again.
     *
     * @param budget budget of the stage's upstream group
     */
    RetryDecision decide(FailedAttempt attempt, RetryBudget budget);
}
