package org.boragethread.core.retry;

import java.time.Duration;
import java.util.function.IntSupplier;
import org.boragethread.core.time.TimeSource;

/**
 * The part of a shared retry budget that this process may use, so that the retries of all entries
 * together stay within one bound. The part proportional to first calls needs no coordination,
 * because each entry counts its own first calls; the fixed part is divided among the entries. Not
 * thread-safe.
 */
public final class SharedRetryBudget {

    /**
     * Extends the window of retries. The counter drops calls up to a tenth of its window early,
     * because it counts by slots; without the margin, a window of the full length could hold more
     * retries than allowed.
     */
    private static final double WINDOW_MARGIN = 1.15;

    private final TimeSource mTime;
    private final double mRatio;
    private final IntSupplier mFixed;
    private final SlidingWindowCounter mFirstCalls;
    private final SlidingWindowCounter mRetries;

    /**
     * Creates a budget.
     *
     * @param ratio retries allowed per first call
     * @param window time over which calls are counted
     * @param fixed additional retries that this process may make within {@link #retryWindow}
     */
    public SharedRetryBudget(TimeSource time, double ratio, Duration window, IntSupplier fixed) {
        mTime = time;
        mRatio = ratio;
        mFixed = fixed;
        mFirstCalls = new SlidingWindowCounter(window, time.nanoTime());
        mRetries = new SlidingWindowCounter(retryWindow(window), time.nanoTime());
    }

    /** Returns the time over which retries are counted if first calls are counted over a window. */
    public static Duration retryWindow(Duration window) {
        return Duration.ofNanos((long) (window.toNanos() * WINDOW_MARGIN));
    }

    /** Counts a first call. */
    public void recordFirstCall() {
        mFirstCalls.increment(mTime.nanoTime());
    }

    /** Charges one retry to the budget; returns false if the budget is exhausted. */
    public boolean tryAcquire() {
        if (available() < 1) {
            return false;
        }
        mRetries.increment(mTime.nanoTime());
        return true;
    }

    /**
     * Returns a retry that reached no upstream to the budget.
     *
     * @param acquiredAt monotonic time at which it was acquired
     */
    public void release(long acquiredAt) {
        mRetries.decrement(acquiredAt, mTime.nanoTime());
    }

    /** Returns the number of retries that are left at present. */
    public long available() {
        long now = mTime.nanoTime();
        double allowed = mFirstCalls.total(now) * mRatio + mFixed.getAsInt();
        return (long) Math.max(0, Math.floor(allowed - mRetries.total(now)));
    }
}
