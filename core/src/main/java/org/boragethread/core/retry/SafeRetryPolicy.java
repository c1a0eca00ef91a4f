package org.boragethread.core.retry;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Retries within the budget of the group and the time left. After the failure of an upstream it
 * waits for a random part of a back-off that doubles with each attempt. The first redirect is sent
 * at once, because it goes to a different upstream.
 */
public final class SafeRetryPolicy implements RetryPolicy {

    /** Default maximum number of attempts at a stage, including the first. */
    public static final int DEFAULT_MAX_ATTEMPTS = 3;

    private static final Duration MIN_BACK_OFF = Duration.ofMillis(10);
    private static final Duration MAX_BACK_OFF = Duration.ofMillis(200);
    private static final int MAX_DOUBLINGS = 10;
    private static final double MIN_FRACTION_OF_TYPICAL_TIME = 0.5;

    private final RandomGenerator mRandom;
    private final int mMaxAttempts;

    /**
     * Creates a policy.
     *
     * @param random source of jitter; the policy locks it while it draws a number
     * @param maxAttempts maximum number of attempts at a stage, including the first
     */
    public SafeRetryPolicy(RandomGenerator random, int maxAttempts) {
        mRandom = Objects.requireNonNull(random, "random");
        mMaxAttempts = maxAttempts;
    }

    @Override
    public RetryDecision decide(FailedAttempt attempt, RetryBudget budget) {
        Optional<GiveUpReason> reasonNotToRetry = RetryRules.reasonToGiveUp(attempt, mMaxAttempts);
        if (reasonNotToRetry.isPresent()) {
            return new RetryDecision.GiveUp(reasonNotToRetry.get());
        }
        RetryReason reason = RetryReason.of(attempt.refusal().reason()).orElseThrow();
        Duration delay = delay(reason, attempt.attempts());
        if (attempt.timeLeft().minus(delay).compareTo(minTimeLeft(attempt)) < 0) {
            return new RetryDecision.GiveUp(GiveUpReason.NO_TIME);
        }
        if (!budget.tryAcquire(reason.kind())) {
            return new RetryDecision.GiveUp(GiveUpReason.BUDGET_EXHAUSTED);
        }
        return new RetryDecision.Retry(delay, reason);
    }

    /** Returns the time below which another attempt is not worth its cost. */
    private static Duration minTimeLeft(FailedAttempt attempt) {
        long typicalNanos = attempt.typicalTime().map(Duration::toNanos).orElse(0L);
        return Duration.ofNanos(Math.max(1, (long) (typicalNanos * MIN_FRACTION_OF_TYPICAL_TIME)));
    }

    private Duration delay(RetryReason reason, int attempts) {
        if (reason.kind() == ExtraAttemptKind.REDIRECT && attempts == 1) {
            return Duration.ZERO;
        }
        long doubled = MIN_BACK_OFF.toNanos() << Math.min(attempts - 1, MAX_DOUBLINGS);
        long bounded = Math.min(MAX_BACK_OFF.toNanos(), doubled);
        synchronized (mRandom) {
            return Duration.ofNanos(mRandom.nextLong(bounded + 1));
        }
    }
}
