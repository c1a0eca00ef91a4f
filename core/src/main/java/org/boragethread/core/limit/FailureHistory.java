package org.boragethread.core.limit;

import java.time.Duration;

/**
 * Tells failures that overload explains from those that come at any load. Failures lower the limit
 * step by step; if half the limit fails as large a share of calls as the whole one did, a lower
 * limit does not help, and failures up to about that share are borne from then on.
 */
final class FailureHistory {

    private static final double RECENT_WEIGHT = 0.03;
    private static final double LONG_WEIGHT = 0.01;
    private static final double NEGLIGIBLE_SHARE = 0.05;
    private static final double SOUND_SHARE = 0.02;
    private static final double CHANCE_OF_RUN = 1e-5;
    private static final int MIN_RUN = 3;
    private static final int MAX_RUN = 20;
    private static final long MIN_NANOS_BETWEEN_FALLS = Duration.ofSeconds(1).toNanos();
    private static final int MIN_CALLS_TO_COMPARE = 16;
    private static final double HELPED_FACTOR = 0.7;
    private static final double EXCESS_FACTOR = 1.5;
    private static final double EXCESS_SHARE = 0.1;

    private double mRecentShare;
    private double mLongShare;
    private int mRun;
    private boolean mIsComparing;
    private int mFirstLimit;
    private double mFirstShare;
    private int mCalls;
    private long mLastFallNanos;
    private double mBorneShare;

    /** Adds the end of a call. */
    void add(boolean failed) {
        mCalls++;
        mRecentShare += RECENT_WEIGHT * ((failed ? 1 : 0) - mRecentShare);
        if (failed) {
            mRun++;
            return;
        }
        // A run counts in the long run only once it is known not to be a breakdown.
        for (int i = 0; i < mRun; i++) {
            mLongShare += LONG_WEIGHT * (1 - mLongShare);
        }
        mLongShare -= LONG_WEIGHT * mLongShare;
        mRun = 0;
        if (mRecentShare < SOUND_SHARE) {
            mIsComparing = false;
        }
        if (mLongShare < SOUND_SHARE) {
            mBorneShare = 0;
        }
    }

    /** Returns the number of failures since the last good answer. */
    int consecutiveFailures() {
        return mRun;
    }

    /** Begins a new run. */
    void clearConsecutiveFailures() {
        mRun = 0;
    }

    /** Tells whether there are too many failures in a row to be chance. */
    boolean isOutage() {
        if (mLongShare < SOUND_SHARE) {
            return mRun >= MIN_RUN;
        }
        double run = Math.ceil(Math.log(CHANCE_OF_RUN) / Math.log(mLongShare));
        return mRun >= Math.max(MIN_RUN, Math.min(MAX_RUN, run));
    }

    /** Tells whether the limit may rise: few calls fail, or no more than a lower limit would. */
    boolean allowsIncrease() {
        return mRecentShare < NEGLIGIBLE_SHARE || mBorneShare > 0;
    }

    /** Tells whether a failed call lowers the limit. */
    boolean shouldLowerLimit(int limit, long nowNanos) {
        if (mBorneShare > 0) {
            if (mRecentShare <= EXCESS_FACTOR * mBorneShare + EXCESS_SHARE) {
                return false;
            }
            mBorneShare = 0;
        }
        if (!mIsComparing) {
            startComparing(limit, nowNanos);
            return true;
        }
        if (nowNanos - mLastFallNanos < MIN_NANOS_BETWEEN_FALLS) {
            return false;
        }
        mLastFallNanos = nowNanos;
        return !isWithoutHelp(limit);
    }

    private void startComparing(int limit, long nowNanos) {
        mIsComparing = true;
        mFirstLimit = limit;
        mFirstShare = 0;
        mCalls = 0;
        mLastFallNanos = nowNanos;
    }

    /** Compares the share of failures with that at the first limit. */
    private boolean isWithoutHelp(int limit) {
        if (mCalls < MIN_CALLS_TO_COMPARE) {
            return false;
        }
        if (mFirstShare == 0) {
            mFirstShare = mRecentShare;
        }
        boolean isHalf = limit <= Math.max(1, mFirstLimit / 2);
        if (!isHalf || mRecentShare < HELPED_FACTOR * mFirstShare) {
            return false;
        }
        mBorneShare = mRecentShare;
        mIsComparing = false;
        return true;
    }
}
