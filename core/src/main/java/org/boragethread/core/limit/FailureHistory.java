package org.boragethread.core.limit;

import java.time.Duration;

/**
 * Distinguishes failures caused by overload from failures that occur at any load. Failures lower
 * the limit step by step. If the failure rate at half the original limit is about as high as it was
 * at first, lowering the limit does not help, and failures up to about that rate are tolerated from
 * then on.
 */
final class FailureHistory {

    private static final double RECENT_RATE_WEIGHT = 0.03;
    private static final double LONG_TERM_RATE_WEIGHT = 0.01;
    private static final double MAX_RATE_FOR_INCREASE = 0.05;
    private static final double HEALTHY_RATE = 0.02;
    private static final double OUTAGE_FALSE_POSITIVE_RATE = 1e-5;
    private static final int MIN_OUTAGE_FAILURES = 3;
    private static final int MAX_OUTAGE_FAILURES = 20;
    private static final long MIN_DECREASE_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int MIN_CALLS_TO_COMPARE = 16;
    private static final double IMPROVED_RATE_FACTOR = 0.7;
    private static final double TOLERATED_RATE_FACTOR = 1.5;
    private static final double TOLERATED_RATE_MARGIN = 0.1;

    private double mRecentRate;
    private double mLongTermRate;
    private int mConsecutiveFailures;
    private boolean mIsComparing;
    private int mInitialLimit;
    private double mInitialRate;
    private int mCallsCompared;
    private long mLastDecreaseNanos;
    private double mToleratedRate;

    /** Records the result of a call. */
    void add(boolean failed) {
        mCallsCompared++;
        mRecentRate += RECENT_RATE_WEIGHT * ((failed ? 1 : 0) - mRecentRate);
        if (failed) {
            mConsecutiveFailures++;
            return;
        }
        // Consecutive failures enter the long-term rate only once a success shows that they were
        // not an outage.
        for (int i = 0; i < mConsecutiveFailures; i++) {
            mLongTermRate += LONG_TERM_RATE_WEIGHT * (1 - mLongTermRate);
        }
        mLongTermRate -= LONG_TERM_RATE_WEIGHT * mLongTermRate;
        mConsecutiveFailures = 0;
        if (mRecentRate < HEALTHY_RATE) {
            mIsComparing = false;
        }
        if (mLongTermRate < HEALTHY_RATE) {
            mToleratedRate = 0;
        }
    }

    /** Returns the number of consecutive failures since the last successful response. */
    int consecutiveFailures() {
        return mConsecutiveFailures;
    }

    /** Restarts the count of consecutive failures. */
    void clearConsecutiveFailures() {
        mConsecutiveFailures = 0;
    }

    /**
     * Returns whether there are too many consecutive failures to be explained by the long-term
     * failure rate.
     */
    boolean isOutage() {
        if (mLongTermRate < HEALTHY_RATE) {
            return mConsecutiveFailures >= MIN_OUTAGE_FAILURES;
        }
        double required = Math.ceil(Math.log(OUTAGE_FALSE_POSITIVE_RATE) / Math.log(mLongTermRate));
        return mConsecutiveFailures
                >= Math.max(MIN_OUTAGE_FAILURES, Math.min(MAX_OUTAGE_FAILURES, required));
    }

    /**
     * Returns whether the limit may increase: few calls fail, or failures are tolerated because a
     * lower limit did not reduce them.
     */
    boolean allowsIncrease() {
        return mRecentRate < MAX_RATE_FOR_INCREASE || mToleratedRate > 0;
    }

    /** Returns whether a failed call lowers the limit. */
    boolean shouldLowerLimit(int limit, long nowNanos) {
        if (mToleratedRate > 0) {
            if (mRecentRate <= TOLERATED_RATE_FACTOR * mToleratedRate + TOLERATED_RATE_MARGIN) {
                return false;
            }
            mToleratedRate = 0;
        }
        if (!mIsComparing) {
            startComparing(limit, nowNanos);
            return true;
        }
        if (nowNanos - mLastDecreaseNanos < MIN_DECREASE_INTERVAL_NANOS) {
            return false;
        }
        mLastDecreaseNanos = nowNanos;
        return !isDecreaseIneffective(limit);
    }

    private void startComparing(int limit, long nowNanos) {
        mIsComparing = true;
        mInitialLimit = limit;
        mInitialRate = 0;
        mCallsCompared = 0;
        mLastDecreaseNanos = nowNanos;
    }

    /** Compares the failure rate with the rate at the limit at which the comparison started. */
    private boolean isDecreaseIneffective(int limit) {
        if (mCallsCompared < MIN_CALLS_TO_COMPARE) {
            return false;
        }
        if (mInitialRate == 0) {
            mInitialRate = mRecentRate;
        }
        boolean isHalved = limit <= Math.max(1, mInitialLimit / 2);
        if (!isHalved || mRecentRate < IMPROVED_RATE_FACTOR * mInitialRate) {
            return false;
        }
        mToleratedRate = mRecentRate;
        mIsComparing = false;
        return true;
    }
}
