package org.boragethread.core.limit;

/**
 * Tells failures that overload explains from those that come at any load. An upstream that fails
 * often even at its cold limit is not helped by a lower limit, so that share of failures is taken
 * as usual for it.
 */
final class FailureHistory {

    private static final double LEARNING_SHARE = 0.02;
    private static final double NEGLIGIBLE_SHARE = 0.05;
    private static final double CHANCE_OF_RUN = 0.02;
    private static final int MIN_RUN = 3;
    private static final int MAX_RUN = 20;
    private static final int WINDOW = 16;
    private static final double EXCESS_FACTOR = 1.5;
    private static final double EXCESS_SHARE = 0.1;

    private final boolean[] mWindow = new boolean[WINDOW];
    private int mNext;
    private int mFailedInWindow;
    private int mRun;
    private double mUsualShare;

    /** Adds the end of a call. */
    void add(boolean failed, boolean lowLoad) {
        mFailedInWindow += (failed ? 1 : 0) - (mWindow[mNext] ? 1 : 0);
        mWindow[mNext] = failed;
        mNext = (mNext + 1) % WINDOW;
        mRun = failed ? mRun + 1 : 0;
        if (lowLoad) {
            mUsualShare += LEARNING_SHARE * ((failed ? 1 : 0) - mUsualShare);
        }
    }

    /** Returns the number of failures since the last good answer. */
    int run() {
        return mRun;
    }

    /** Begins a new run. */
    void endRun() {
        mRun = 0;
    }

    /** Tells whether there are too many failures in a row to be chance. */
    boolean isBreakdown() {
        return mRun >= runOfBreakdown();
    }

    /** Tells whether calls fail more often than at the cold limit. */
    boolean isMoreThanUsual() {
        if (mUsualShare < NEGLIGIBLE_SHARE) {
            return true;
        }
        double share = mFailedInWindow / (double) WINDOW;
        return share > EXCESS_FACTOR * mUsualShare + EXCESS_SHARE;
    }

    private int runOfBreakdown() {
        if (mUsualShare < NEGLIGIBLE_SHARE) {
            return MIN_RUN;
        }
        double run = Math.log(CHANCE_OF_RUN) / Math.log(Math.min(0.99, mUsualShare));
        return (int) Math.max(MIN_RUN, Math.min(MAX_RUN, Math.ceil(run)));
    }
}
