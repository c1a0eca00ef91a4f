package org.boragethread.core.upstream;

/**
 * Moving average of the response time of a group, to which the response times of single upstreams
 * are compared. Not thread-safe.
 */
public final class GroupResponseTime {

    private static final double SAMPLE_WEIGHT = 0.05;

    private double mAverage;

    /** Adds a response time and returns it as a multiple of the previous average. */
    public double addAndCompare(double time) {
        if (mAverage == 0) {
            mAverage = time;
        }
        double relative = time / Math.max(1e-9, mAverage);
        // Limits the effect of a single outlier on the average of the group.
        mAverage += SAMPLE_WEIGHT * (Math.min(time, 4 * mAverage) - mAverage);
        return relative;
    }
}
