package org.boragethread.core.upstream;

/**
 * The usual time of a group's answers, so that one upstream can be told to be slower than the
 * others. Not safe for use by several threads.
 */
public final class GroupPace {

    private static final double SAMPLE_WEIGHT = 0.05;

    private double mUsual;

    /** Adds the time of an answer and returns it as a multiple of the usual time. */
    public double relative(double time) {
        if (mUsual == 0) {
            mUsual = time;
        }
        double relative = time / Math.max(1e-9, mUsual);
        // A single extreme answer must not change what is usual for all.
        mUsual += SAMPLE_WEIGHT * (Math.min(time, 4 * mUsual) - mUsual);
        return relative;
    }
}
