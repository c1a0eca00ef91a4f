package org.boragethread.core.retry;

import java.time.Duration;
import org.boragethread.core.time.TimeSource;

/**
 * This process's part of a bound on repeated calls that all entries share. The part that grows with
 * the first calls needs no agreement, because each entry counts its own; the fixed part is divided.
 * Not safe for use by several threads.
 */
public final class SharedRetryBudget {

    /** The slots of the count end early by up to a tenth of the window. */
    private static final double WINDOW_MARGIN = 1.15;

    private final TimeSource mTime;
    private final double mRatio;
    private final double mFixed;
    private final SlidingWindowCounter mFirst;
    private final SlidingWindowCounter mRepeated;

    /**
     * Makes a budget.
     *
     * @param ratio repeated calls allowed for each first call
     * @param fixed repeated calls of this process that are allowed in each window besides
     * @param window time over which calls are counted
     */
    public SharedRetryBudget(TimeSource time, double ratio, double fixed, Duration window) {
        mTime = time;
        mRatio = ratio;
        mFixed = fixed;
        Duration counted = Duration.ofNanos((long) (window.toNanos() * WINDOW_MARGIN));
        mFirst = new SlidingWindowCounter(window, time.nanoTime());
        mRepeated = new SlidingWindowCounter(counted, time.nanoTime());
    }

    /** Counts a first call. */
    public void recordFirstCall() {
        mFirst.increment(mTime.nanoTime());
    }

    /** Takes one repeated call out of the budget; returns false if it is used up. */
    public boolean tryAcquire() {
        long now = mTime.nanoTime();
        if (mRepeated.total(now) + 1 > mFirst.total(now) * mRatio + mFixed) {
            return false;
        }
        mRepeated.increment(now);
        return true;
    }
}
