package org.boragethread.core.fairness;

import java.time.Duration;

/** Token bucket that is refilled at a constant rate up to its capacity. Not thread-safe. */
final class TokenBucket {

    private static final double NANOS_PER_SECOND = 1e9;

    private double mTokens;
    private long mRefilledNanos;

    TokenBucket(double capacity, long nowNanos) {
        mTokens = capacity;
        mRefilledNanos = nowNanos;
    }

    /** Adds the tokens accrued since the last call. */
    void refill(double ratePerSecond, double capacity, long nowNanos) {
        double seconds = Math.max(0, nowNanos - mRefilledNanos) / NANOS_PER_SECOND;
        mTokens = Math.min(capacity, mTokens + seconds * ratePerSecond);
        mRefilledNanos = nowNanos;
    }

    boolean hasToken() {
        return mTokens >= 1;
    }

    void take() {
        mTokens -= 1;
    }

    /** Returns the time until a token is available. */
    Duration timeUntilToken(double ratePerSecond) {
        double seconds = Math.max(0, 1 - mTokens) / ratePerSecond;
        return Duration.ofNanos((long) Math.ceil(seconds * NANOS_PER_SECOND));
    }
}
