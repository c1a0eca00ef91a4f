package org.boragethread.core.stage;

/**
 * Share of the work sent that belonged to late stages, while such stages waited. Stages in time
 * precede them, so they wait the longer, the smaller it is. Not thread-safe.
 */
final class LateShare {

    /** Time constant with which observations are forgotten. */
    private static final double MEMORY_NANOS = 2e9;

    /** Least share: late stages lead one batch in eight if they have waited longest. */
    private static final double MIN_SHARE = 0.125;

    private double mLateWork;
    private double mWork;
    private long mUpdatedAt;

    /** Forgets what was observed long before the given time. */
    void update(long now) {
        double kept = Math.exp(-(now - mUpdatedAt) / MEMORY_NANOS);
        mLateWork *= kept;
        mWork *= kept;
        mUpdatedAt = now;
    }

    /** Counts work that was sent while late stages waited. */
    void onSent(double work, boolean late) {
        mWork += work;
        mLateWork += late ? work : 0;
    }

    double get() {
        return mWork == 0 ? 1 : Math.max(MIN_SHARE, mLateWork / mWork);
    }
}
