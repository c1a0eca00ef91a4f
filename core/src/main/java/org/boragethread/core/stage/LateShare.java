package org.boragethread.core.stage;

/**
 * Share of the work sent that belonged to late stages, while such stages waited. Stages in time
 * precede them, so they wait the longer, the smaller it is. Not thread-safe.
 */
final class LateShare {

    /** Time constant with which observations are forgotten. */
    private static final double MEMORY_NANOS = 2e9;

    /**
     * Time after which observations are discarded if no stage in time has waited: some calls, so
     * that a moment without one does not count.
     */
    private static final long MAX_AGE_NANOS = 500_000_000;

    /**
     * Work of late stages that is added to the observed work, in full calls. Less than one call in
     * the observed time cannot be told from none, so no share is zero.
     */
    private static final double ADDED_WORK = 1;

    /**
     * Added work as a share of the observed work at most: slow groups complete about two calls in
     * the time that is remembered, beside which a whole call would be a third of all.
     */
    private static final double MAX_ADDED_SHARE = 0.2;

    /** Work below which there is no estimate, in full calls. */
    private static final double MIN_WORK = 1;

    private double mLateWork;
    private double mWork;
    private long mUpdatedAt;
    private long mCompetedAt;
    private boolean mStarted;

    /**
     * Forgets what was observed long before the given time, or before a time without competition.
     *
     * @param isCompeting whether stages in time have been waiting
     */
    void update(boolean isCompeting, long now) {
        if (isCompeting || !mStarted) {
            mCompetedAt = now;
        }
        boolean isOutdated = now - mCompetedAt >= MAX_AGE_NANOS;
        double kept = mStarted && !isOutdated ? Math.exp(-(now - mUpdatedAt) / MEMORY_NANOS) : 0;
        mLateWork *= kept;
        mWork *= kept;
        mUpdatedAt = now;
        mStarted = true;
    }

    /** Counts work that was sent while late stages waited, in full calls. */
    void onSent(double work, boolean late) {
        mWork += work;
        mLateWork += late ? work : 0;
    }

    /** Returns the share, above 0 and at most 1: without observations late stages get all. */
    double get() {
        if (mWork < MIN_WORK) {
            return 1;
        }
        double added = Math.min(ADDED_WORK, mWork * MAX_ADDED_SHARE);
        return (mLateWork + added) / (mWork + added);
    }
}
