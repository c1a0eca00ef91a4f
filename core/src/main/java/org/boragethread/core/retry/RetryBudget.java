package org.boragethread.core.retry;

import java.time.Duration;
import java.util.Objects;
import org.boragethread.core.time.TimeSource;

/**
 * Limits the attempts beyond the first that are sent to an upstream group. Retries and hedges
 * together may be at most a fraction of the first calls of the last window, so that retries do not
 * overload a failing group further. Redirects of calls that were refused before they reached an
 * upstream cost only messages and have a separate, larger budget. Each window allows at least one
 * extra call, and a few redirects on top of their ratio, so that calls to a group with little
 * traffic can be retried too. Thread-safe.
 */
public final class RetryBudget {

    /** Default maximum number of extra calls per first call. */
    public static final double DEFAULT_RATIO = 0.1;

    private static final double REDIRECT_RATIO = 1.0;
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final int MIN_EXTRA_CALLS = 1;
    private static final int ADDITIONAL_REDIRECTS = 10;

    private final TimeSource mTime;
    private final double mRatio;
    private final SlidingWindowCounter mFirstCalls;
    private final SlidingWindowCounter mExtraCalls;
    private final SlidingWindowCounter mRedirects;

    /** Creates the budget of a group with the default ratio. */
    public RetryBudget(TimeSource time) {
        this(time, DEFAULT_RATIO);
    }

    /**
     * Creates the budget of a group.
     *
     * @param ratio maximum number of extra calls per first call, from 0 to 1
     */
    public RetryBudget(TimeSource time, double ratio) {
        if (!(ratio >= 0 && ratio <= 1)) {
            throw new IllegalArgumentException("ratio %s must be from 0 to 1".formatted(ratio));
        }
        mTime = Objects.requireNonNull(time, "time");
        mRatio = ratio;
        long now = time.nanoTime();
        mFirstCalls = new SlidingWindowCounter(WINDOW, now);
        mExtraCalls = new SlidingWindowCounter(WINDOW, now);
        mRedirects = new SlidingWindowCounter(WINDOW, now);
    }

    /** Counts a first attempt at a stage. */
    public synchronized void recordFirstCall() {
        mFirstCalls.increment(mTime.nanoTime());
    }

    /** Charges one attempt to the budget; returns false if the budget is exhausted. */
    public synchronized boolean tryAcquire(ExtraAttemptKind kind) {
        long now = mTime.nanoTime();
        long calls = mFirstCalls.total(now);
        return kind == ExtraAttemptKind.REDIRECT
                ? tryAcquire(mRedirects, calls * REDIRECT_RATIO + ADDITIONAL_REDIRECTS, now)
                : tryAcquire(mExtraCalls, Math.max(MIN_EXTRA_CALLS, calls * mRatio), now);
    }

    private static boolean tryAcquire(SlidingWindowCounter counter, double max, long now) {
        if (counter.total(now) + 1 > max) {
            return false;
        }
        counter.increment(now);
        return true;
    }
}
