package org.boragethread.core.upstream;

import java.time.Duration;

/**
 * Learned time from the first part of a forwarded response to its end, for the upstreams of one
 * group: a smoothed mean and a smoothed deviation from it, as for retransmission timeouts (RFC
 * 6298). Not thread-safe.
 */
public final class StreamDurationModel {

    private static final double MEAN_GAIN = 0.125;
    private static final double DEVIATION_GAIN = 0.25;
    private static final int BOUND_DEVIATIONS = 4;

    private double mMeanNanos = -1;
    private double mDeviationNanos;

    /** Adds a response that was forwarded whole. */
    public void add(Duration duration) {
        double nanos = duration.toNanos();
        if (mMeanNanos < 0) {
            mMeanNanos = nanos;
            mDeviationNanos = nanos / 2;
            return;
        }
        double error = nanos - mMeanNanos;
        mDeviationNanos += DEVIATION_GAIN * (Math.abs(error) - mDeviationNanos);
        mMeanNanos += MEAN_GAIN * error;
    }

    /** Returns the time within which almost every response ends; zero before the first one. */
    public Duration bound() {
        return mMeanNanos < 0
                ? Duration.ZERO
                : Duration.ofNanos((long) (mMeanNanos + BOUND_DEVIATIONS * mDeviationNanos));
    }
}
