package org.boragethread.core.stage;

import java.time.Duration;
import org.boragethread.core.time.TimeSource;

/**
 * How long the stages of one group take at present, waiting included. Not safe for use by several
 * threads.
 */
public final class DelayEstimate {

    /** Age from which an observation says nothing of the present. */
    private static final long MAX_AGE_NANOS = Duration.ofMillis(700).toNanos();

    private static final double WEIGHT = 0.2;

    private final TimeSource mTime;
    private double mNanos;
    private long mAt;

    /** Makes an estimate without observations. */
    public DelayEstimate(TimeSource time) {
        mTime = time;
        mAt = time.nanoTime() - MAX_AGE_NANOS;
    }

    /** Adds the time that one stage took. */
    public void observe(long nanos) {
        mNanos = isRecent() ? mNanos + WEIGHT * (nanos - mNanos) : nanos;
        mAt = mTime.nanoTime();
    }

    /** Returns the expected time of a stage that takes at least the given time. */
    public long expected(long leastNanos) {
        return isRecent() ? Math.max(leastNanos, (long) mNanos) : leastNanos;
    }

    private boolean isRecent() {
        return mTime.nanoTime() - mAt < MAX_AGE_NANOS;
    }
}
