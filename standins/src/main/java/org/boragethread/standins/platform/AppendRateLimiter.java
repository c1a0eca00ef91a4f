package org.boragethread.standins.platform;

/** Limits the rate of appends with a token bucket that holds the appends of 0.1 s. */
final class AppendRateLimiter {

    private static final double BURST_SECONDS = 0.1;
    private static final double MS_PER_SECOND = 1000;

    private double mTokens;
    private long mLastMs;

    /** Takes a token for one append; returns false if the rate limit is reached. */
    synchronized boolean tryAcquire(int perSecond, long nowMs) {
        double burst = Math.max(1, perSecond * BURST_SECONDS);
        double refill = (nowMs - mLastMs) / MS_PER_SECOND * perSecond;
        mTokens = Math.min(burst, mTokens + Math.max(0, refill));
        mLastMs = nowMs;
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }
}
