package org.boragethread.core.fairness;

import java.time.Duration;

/** Tokens that fill at a constant rate up to one burst. Not safe for use by several threads. */
final class TokenBucket {

    private static final double NANOS_PER_SECOND = 1e9;

    private double mTokens;
    private long mFilledNanos;

    TokenBucket(double burst, long nowNanos) {
        mTokens = burst;
        mFilledNanos = nowNanos;
    }

    /** Adds the tokens of the time since the last call. */
    void refill(double ratePerSecond, double burst, long nowNanos) {
        double seconds = Math.max(0, nowNanos - mFilledNanos) / NANOS_PER_SECOND;
        mTokens = Math.min(burst, mTokens + seconds * ratePerSecond);
        mFilledNanos = nowNanos;
    }

    boolean hasToken() {
        return mTokens >= 1;
    }

    void take() {
        mTokens -= 1;
    }

    /** Returns the time until the next token. */
    Duration timeUntilToken(double ratePerSecond) {
        double seconds = Math.max(0, 1 - mTokens) / ratePerSecond;
        return Duration.ofNanos((long) Math.ceil(seconds * NANOS_PER_SECOND));
    }
}
