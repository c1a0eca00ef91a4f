package org.boragethread.core.rollout;

import java.util.Arrays;

/**
 * Sequential likelihood-ratio test on a share of bad responses, for a change that may begin at any
 * time. One ratio begins with each of a fixed number of segments. Their mean, in which a ratio that
 * has not begun is 1, is a martingale under the null hypothesis; by Ville's inequality it ever
 * reaches 1/e with a probability of at most e, however often it is looked at. Not thread-safe.
 */
final class SequentialTest {

    private final double mError;
    private final double[] mLogRatios;
    private int mBegun = 1;

    /**
     * Creates a test whose first segment has begun.
     *
     * @param error greatest probability that the null hypothesis is rejected although it holds
     * @param segments number of segments
     */
    SequentialTest(double error, int segments) {
        mError = error;
        mLogRatios = new double[segments];
    }

    /** Begins all segments up to a number. */
    void beginSegments(int count) {
        mBegun = Math.max(mBegun, Math.min(count, mLogRatios.length));
    }

    /**
     * Adds responses.
     *
     * @param badShare share of bad responses under the null hypothesis
     * @param otherShare share under the alternative; greater
     */
    void add(long bad, long responses, double badShare, double otherShare) {
        double logRatio =
                bad * Math.log(otherShare / badShare)
                        + (responses - bad) * Math.log((1 - otherShare) / (1 - badShare));
        for (int i = 0; i < mBegun; i++) {
            mLogRatios[i] += logRatio;
        }
    }

    /** Returns whether the null hypothesis is rejected now. */
    boolean isRejected() {
        double greatest = greatestLogRatio();
        double sum = 0;
        for (double logRatio : mLogRatios) {
            sum += Math.exp(logRatio - greatest);
        }
        return greatest + Math.log(sum / mLogRatios.length) >= -Math.log(mError);
    }

    /** Returns the logarithm of the ratio over all responses. */
    double logRatio() {
        return mLogRatios[0];
    }

    /** Returns the greatest logarithm of the ratios; 0 or more while a segment has not begun. */
    double greatestLogRatio() {
        return Arrays.stream(mLogRatios).max().orElse(0);
    }
}
