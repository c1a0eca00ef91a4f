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

    void countRejected() {
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

    void recordInFlight(int inFlight) {
        mMaxConcurrent = Math.max(mMaxConcurrent, inFlight);
    }

    void countOutcome(CallOutcome outcome, double durationMs) {
        mBusyMs += durationMs;
        if (outcome == CallOutcome.SUCCEEDED) {
            mSucceeded++;
            return;
        }
        mWastedMs += durationMs;
        if (outcome == CallOutcome.CANCELLED) {
            mCancelled++;
        } else {
            mFailed++;
        }
    }

    UpstreamStats snapshot(int inFlight, boolean cold) {
        return new UpstreamStats(
                mCalls,
                mSucceeded,
                mFailed,
                mRejected,
                mCancelled,
                mOverloads,
                mColdExcess,
                inFlight,
                mMaxConcurrent,
                mBusyMs,
                mWastedMs,
                mPrefixHits,
                cold);
    }
}
