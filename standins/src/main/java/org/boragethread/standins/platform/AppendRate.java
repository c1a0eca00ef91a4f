package org.boragethread.standins.platform;

/** Bounds appends per second with a token bucket that holds a tenth of a second's appends. */
final class AppendRate {

    private static final double BURST_SECONDS = 0.1;
    private static final double MS_PER_SECOND = 1000;

    private double mTokens;
    private long mLastMs;

    /** Takes one append, or tells that the bound is reached. */
    synchronized boolean tryTake(int perSecond, long nowMs) {
        double burst = Math.max(1, perSecond * BURST_SECONDS);
        double fresh = (nowMs - mLastMs) / MS_PER_SECOND * perSecond;
        mTokens = Math.min(burst, mTokens + Math.max(0, fresh));
        mLastMs = nowMs;
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }
}
