package org.boragethread.core.retry;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Tries again within the group's budget and the time left. After a failure of an upstream it waits
 * for a random part of a back-off that doubles; the first redirect goes at once, because another
 * upstream is asked.
 */
public final class SafeRetryPolicy implements RetryPolicy {

    /** Greatest number of attempts at a stage, the first included. */
    public static final int DEFAULT_MAX_ATTEMPTS = 3;

    private static final Duration MIN_BACK_OFF = Duration.ofMillis(10);
    private static final Duration MAX_BACK_OFF = Duration.ofMillis(200);
    private static final int MAX_DOUBLINGS = 10;
    private static final double MIN_SHARE_OF_USUAL = 0.5;

    private final RandomGenerator mRandom;
    private final int mMaxAttempts;

    /**
     * Makes a policy.
     *
     * @param random source of jitter; the policy locks it while it draws
     * @param maxAttempts greatest number of attempts at a stage, the first included
     */
    public SafeRetryPolicy(RandomGenerator random, int maxAttempts) {
        mRandom = Objects.requireNonNull(random, "random");
        mMaxAttempts = maxAttempts;
    }

    @Override
    public RetryDecision decide(FailedAttempt attempt, RetryBudget budget) {
        Optional<GiveUpReason> forbidden = RetryRules.reasonToGiveUp(attempt, mMaxAttempts);
        if (forbidden.isPresent()) {
            return new RetryDecision.GiveUp(forbidden.get());
        }
        RetryReason reason = RetryReason.of(attempt.refusal().reason()).orElseThrow();
        Duration delay = delay(reason, attempt.attempts());
        if (attempt.timeLeft().minus(delay).compareTo(leastTime(attempt)) < 0) {
            return new RetryDecision.GiveUp(GiveUpReason.NO_TIME);
        }
        if (!budget.tryAcquire(reason.kind())) {
            return new RetryDecision.GiveUp(GiveUpReason.BUDGET_EXHAUSTED);
        }
        return new RetryDecision.Retry(delay, reason);
    }

    /** Returns the time below which another attempt is not worth its cost. */
    private static Duration leastTime(FailedAttempt attempt) {
        long usual = attempt.typicalTime().map(Duration::toNanos).orElse(0L);
        return Duration.ofNanos(Math.max(1, (long) (usual * MIN_SHARE_OF_USUAL)));
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
