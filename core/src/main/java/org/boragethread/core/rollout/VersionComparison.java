package org.boragethread.core.rollout;

/** Compares the target version with the old one on one route or on all. Not thread-safe. */
final class VersionComparison {

    /** Excess of the share of bad responses that a good version may have. */
    private static final double GOOD_EXCESS = 0.02;

    /** Excess of the share of bad responses of a bad version. */
    private static final double BAD_EXCESS = 0.15;

    /** Greatest probability to take a version that is bad to that extent for a good one. */
    private static final double MISS_ERROR = 0.01;

    /** Greatest logarithm of the ratio of the latest responses in a good verdict. */
    private static final double MAX_RECENT_LOG_RATIO = 2;

    /**
     * Logarithm of the ratio over which a version is taken for bad if a decision is due. With 0, 38
     * of 1,000 good versions were rolled back with 40 responses on each of five routes.
     */
    private static final double FORCED_LOG_RATIO = 4;

    /** Share of bad responses of the old version from which nothing is decided. */
    private static final double DISRUPTED_SHARE = 0.25;

    private final SequentialTest mTest;

    VersionComparison(SequentialTest test) {
        mTest = test;
    }

    void beginSegments(int count) {
        mTest.beginSegments(count);
    }

    /**
     * Adds responses of the target version.
     *
     * @param old old version at the same time
     */
    void add(long bad, long responses, OldVersionWindow old) {
        if (!isDisrupted(old)) {
            double oldShare = old.badShare();
            mTest.add(bad, responses, oldShare + GOOD_EXCESS, oldShare + BAD_EXCESS);
        }
    }

    /** Returns whether the old version fails so often that nothing is decided. */
    static boolean isDisrupted(OldVersionWindow old) {
        return Math.max(old.badShare(), old.allBadShare()) >= DISRUPTED_SHARE;
    }

    boolean isBad() {
        return mTest.isRejected();
    }

    /** Returns whether a bad version would hardly ever have responses like these. */
    boolean isGood() {
        return mTest.logRatio() <= Math.log(MISS_ERROR)
                && mTest.greatestLogRatio() <= MAX_RECENT_LOG_RATIO;
    }

    /** Returns whether the responses are far more likely ones of a bad version. */
    boolean isRatherBad() {
        return mTest.logRatio() > FORCED_LOG_RATIO;
    }

    double logRatio() {
        return mTest.greatestLogRatio();
    }
}
