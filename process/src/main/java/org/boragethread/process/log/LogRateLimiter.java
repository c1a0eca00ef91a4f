package org.boragethread.process.log;

/** Token bucket that limits the lines per second and permits a burst of one second's lines. */
final class LogRateLimiter {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double mLinesPerSecond;
    private double mTokens;
    private long mRefilledAtNanos;

    LogRateLimiter(double linesPerSecond, long nowNanos) {
        mLinesPerSecond = linesPerSecond;
        mTokens = linesPerSecond;
        mRefilledAtNanos = nowNanos;
    }

    boolean tryAcquire(long nowNanos) {
        double refill = (nowNanos - mRefilledAtNanos) / NANOS_PER_SECOND * mLinesPerSecond;
        mTokens = Math.min(mLinesPerSecond, mTokens + Math.max(0, refill));
        mRefilledAtNanos = nowNanos;
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }
}
