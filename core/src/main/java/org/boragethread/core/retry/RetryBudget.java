package org.boragethread.core.retry;

import java.time.Duration;
import java.util.Objects;
import org.boragethread.core.time.TimeSource;

/**
 * Bounds attempts beyond the first to an upstream group: retries and hedges together are at most a
 * share of the first calls of the last window, so that a failing group is not buried under retries.
 * Redirects after refusals that no upstream has seen cost only messages and have a wider share of
 * their own. Besides the shares, one extra call and a few redirects a window are free, so that a
 * group with little traffic can be tried again too. Safe for use by several threads.
 */
public final class RetryBudget {

    /** Greatest number of extra calls as a share of first calls. */
    public static final double DEFAULT_RATIO = 0.1;

    private static final double REDIRECT_SHARE = 1.0;
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final int FREE_EXTRA_CALLS = 1;
    private static final int FREE_REDIRECTS = 10;

    private final TimeSource mTime;
    private final double mShare;
    private final SlidingWindowCounter mFirstCalls;
    private final SlidingWindowCounter mExtraCalls;
    private final SlidingWindowCounter mRedirects;

    /** Makes the default budget of a group. */
    public RetryBudget(TimeSource time) {
        this(time, DEFAULT_RATIO);
    }

    /**
     * Makes the budget of a group.
     *
     * @param share greatest number of extra calls as a share of first calls, from 0 to 1
     */
    public RetryBudget(TimeSource time, double share) {
        if (!(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException("share %s must be from 0 to 1".formatted(share));
        }
        mTime = Objects.requireNonNull(time, "time");
        mShare = share;
        long now = time.nanoTime();
        mFirstCalls = new SlidingWindowCounter(WINDOW, now);
        mExtraCalls = new SlidingWindowCounter(WINDOW, now);
        mRedirects = new SlidingWindowCounter(WINDOW, now);
    }

    /** Counts the first attempt at a stage. */
    public synchronized void recordFirstCall() {
        mFirstCalls.increment(mTime.nanoTime());
    }

    /** Takes one attempt out of the budget; returns false if the budget is used up. */
    public synchronized boolean tryAcquire(ExtraAttemptKind kind) {
        long now = mTime.nanoTime();
        long calls = mFirstCalls.total(now);
        return kind == ExtraAttemptKind.REDIRECT
                ? tryAcquire(mRedirects, calls * REDIRECT_SHARE + FREE_REDIRECTS, now)
                : tryAcquire(mExtraCalls, Math.max(FREE_EXTRA_CALLS, calls * mShare), now);
    }

    private static boolean tryAcquire(SlidingWindowCounter taken, double most, long now) {
        if (taken.total(now) + 1 > most) {
            return false;
        }
        taken.increment(now);
        return true;
    }
}
