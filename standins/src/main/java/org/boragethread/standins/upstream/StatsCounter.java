package org.boragethread.standins.upstream;

/** Counters of one upstream; guarded by the lock of its {@link CapacityModel}. */
final class StatsCounter {

    private long mCalls;
    private long mRejected;
    private long mOverloads;
    private long mColdExcess;
    private long mPrefixHits;
    private long mSucceeded;
    private long mFailed;
    private long mCancelled;
    private int mMaxConcurrent;
    private double mBusyMs;
    private double mWastedMs;

    void countCall() {
        mCalls++;
    }

    void countRefused() {
        mRejected++;
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
            mSucceeded++;
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
                mSucceeded,
                mFailed,
                mRejected,
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
