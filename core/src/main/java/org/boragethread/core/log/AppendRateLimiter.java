package org.boragethread.core.log;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.boragethread.core.time.TimeSource;

/** Token bucket that limits the append rate of one process; shared by all its appenders. */
public final class AppendRateLimiter {

    private final TimeSource mTime;
    private final double mNanosPerAppend;
    private final int mBurst;
    private double mTokens;
    private long mRefilledAt;

    /**
     * Creates a rate limiter with a full bucket.
     *
     * @param perSecond sustained rate, in appends per second
     * @param burst capacity of the bucket, in appends
     */
    public AppendRateLimiter(TimeSource time, double perSecond, int burst) {
        mTime = Objects.requireNonNull(time, "time");
        if (!(perSecond > 0) || burst < 1) {
            throw new IllegalArgumentException(
                    "append rate limiter: perSecond %s must be above 0 and burst %d at least 1"
                            .formatted(perSecond, burst));
        }
        mNanosPerAppend = TimeUnit.SECONDS.toNanos(1) / perSecond;
        mBurst = burst;
        mTokens = burst;
        mRefilledAt = time.nanoTime();
    }

    /**
     * Takes one token if available.
     *
     * @return zero if a token was taken, otherwise the time until one becomes available
     */
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
