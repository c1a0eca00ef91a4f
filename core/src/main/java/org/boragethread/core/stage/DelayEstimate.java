package org.boragethread.core.stage;

import java.time.Duration;
import org.boragethread.core.time.TimeSource;

/**
 * Moving average of the time that stages of one group currently take, queueing included. Not
 * thread-safe.
 */
public final class DelayEstimate {

    /** Time without samples after which the average is discarded. */
    private static final long MAX_AGE_NANOS = Duration.ofMillis(700).toNanos();

    /** Weight of the newest sample in the average. */
    private static final double SAMPLE_WEIGHT = 0.2;

    private final TimeSource mTime;
    private double mAverageNanos;
    private long mLastSampleAt;

    /** Creates an estimate without samples. */
    public DelayEstimate(TimeSource time) {
        mTime = time;
        mLastSampleAt = time.nanoTime() - MAX_AGE_NANOS;
    }

    /** Adds the time that one stage took. */
    public void addSample(long nanos) {
        mAverageNanos =
                isRecent() ? mAverageNanos + SAMPLE_WEIGHT * (nanos - mAverageNanos) : nanos;
        mLastSampleAt = mTime.nanoTime();
    }

    /** Returns the expected time of a stage that takes at least the given time. */
    public long estimate(long minNanos) {
        return isRecent() ? Math.max(minNanos, (long) mAverageNanos) : minNanos;
    }

    private boolean isRecent() {
        return mTime.nanoTime() - mLastSampleAt < MAX_AGE_NANOS;
    }
}
