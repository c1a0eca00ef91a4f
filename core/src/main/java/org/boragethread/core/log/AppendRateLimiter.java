package org.boragethread.core.log;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.boragethread.core.time.TimeSource;

/** Bounds the appends a second of one process; all its appenders share one budget. */
public final class AppendRateLimiter {

    private final TimeSource mTime;
    private final double mNanosPerAppend;
    private final int mBurst;
    private double mTokens;
    private long mRefilledAt;

    /**
     * Starts full.
     *
     * @param perSecond lasting rate of appends, in appends a second
     * @param burst appends that may follow each other at once after a pause
     */
    public AppendRateLimiter(TimeSource time, double perSecond, int burst) {
        mTime = Objects.requireNonNull(time, "time");
        if (!(perSecond > 0) || burst < 1) {
            throw new IllegalArgumentException(
                    "append budget: perSecond %s must be above 0 and burst %d at least 1"
                            .formatted(perSecond, burst));
        }
        mNanosPerAppend = TimeUnit.SECONDS.toNanos(1) / perSecond;
        mBurst = burst;
        mTokens = burst;
        mRefilledAt = time.nanoTime();
    }

    /** Takes one append out of the budget, or returns the time until one is there. */
    public synchronized Duration tryAcquire() {
        long now = mTime.nanoTime();
        mTokens = Math.min(mBurst, mTokens + (now - mRefilledAt) / mNanosPerAppend);
        mRefilledAt = now;
        if (mTokens >= 1) {
            mTokens -= 1;
            return Duration.ZERO;
        }
        return Duration.ofNanos((long) Math.ceil((1 - mTokens) * mNanosPerAppend));
    }
}
