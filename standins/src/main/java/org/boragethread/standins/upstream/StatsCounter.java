package org.boragethread.standins.upstream;

/** Counts of one upstream; its capacity model guards them. */
final class StatsCounter {

    private long mCalls;
    private long mRefused;
    private long mOverloads;
    private long mColdExcess;
    private long mPrefixHits;
    private long mGood;
    private long mFailed;
    private long mCancelled;
    private int mMaxConcurrent;
    private double mBusyMs;
    private double mWastedMs;

    void countCall() {
        mCalls++;
    }

    void countRefused() {
        mRefused++;
    }

    void countOverload() {
        mOverloads++;
    }

    void countColdExcess() {
        mColdExcess++;
    }

    void countPrefixHit() {
        mPrefixHits++;
    }

    void countFailed() {
        mFailed++;
    }

    void countHeld(int held) {
        mMaxConcurrent = Math.max(mMaxConcurrent, held);
    }

    void countEnd(Ending ending, double workMs) {
        mBusyMs += workMs;
        if (ending == Ending.GOOD) {
            mGood++;
            return;
        }
        mWastedMs += workMs;
        if (ending == Ending.CANCELLED) {
            mCancelled++;
        } else {
            mFailed++;
        }
    }

    UpstreamStats snapshot(int held, boolean cold) {
        return new UpstreamStats(
                mCalls,
                mGood,
                mFailed,
                mRefused,
                mCancelled,
                mOverloads,
                mColdExcess,
                held,
                mMaxConcurrent,
                mBusyMs,
                mWastedMs,
                mPrefixHits,
                cold);
    }
}
