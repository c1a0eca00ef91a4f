package org.boragethread.core.deadline;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.IntCountsHistogram;
import org.boragethread.core.time.TimeSource;

/**
 * Durations observed over the present and the previous time window. Older observations are
 * forgotten, so that an estimate never outlives its cause. Safe for use by several threads.
 */
public final class ServiceTimes {

    private static final int SIGNIFICANT_DIGITS = 2;
    private static final long MAX_MICROS = TimeUnit.HOURS.toMicros(1);
    private static final int REFRESH_SHARE = 16;

    private final TimeSource mTime;
    private final long mWindowNanos;
    private final int mMinSamples;
    private final Map<Double, Duration> mQuantiles = new HashMap<>();
    private IntCountsHistogram mPresent = new IntCountsHistogram(SIGNIFICANT_DIGITS);
    private IntCountsHistogram mPrevious = new IntCountsHistogram(SIGNIFICANT_DIGITS);
    private long mWindowStart;
    private long mRecordedSinceRefresh;

    /**
     * Makes an empty set of observations.
     *
     * @param window length of a window; observations count for one to two windows
     * @param minSamples number of observations below which there is no estimate, at least 1
     */
    public ServiceTimes(TimeSource time, Duration window, int minSamples) {
        mTime = Objects.requireNonNull(time, "time");
        mWindowNanos = window.toNanos();
        mMinSamples = Math.max(1, minSamples);
        mWindowStart = time.nanoTime();
    }

    /** Adds an observation. */
    public synchronized void record(Duration duration) {
        rotate();
        long micros = TimeUnit.NANOSECONDS.toMicros(duration.toNanos());
        mPresent.recordValue(Math.min(MAX_MICROS, Math.max(0, micros)));
        mRecordedSinceRefresh++;
    }

    /** Returns the number of observations that count at present. */
    public synchronized long count() {
        rotate();
        return total();
    }

    /**
     * Returns the duration that the given share of observations did not exceed.
     *
     * @param share from 0 to 1
     * @return empty if there are too few recent observations
     */
    public synchronized Optional<Duration> quantile(double share) {
        rotate();
        if (total() < mMinSamples) {
            return Optional.empty();
        }
        if (mRecordedSinceRefresh * REFRESH_SHARE >= total()) {
            mQuantiles.clear();
            mRecordedSinceRefresh = 0;
        }
        return Optional.of(mQuantiles.computeIfAbsent(share, this::compute));
    }

    private Duration compute(double share) {
        IntCountsHistogram merged = mPresent.copy();
        merged.add(mPrevious);
        long micros = merged.getValueAtPercentile(share * 100);
        return Duration.ofNanos(TimeUnit.MICROSECONDS.toNanos(micros));
    }

    private long total() {
        return mPresent.getTotalCount() + mPrevious.getTotalCount();
    }

    private void rotate() {
        long elapsed = mTime.nanoTime() - mWindowStart;
        if (elapsed < mWindowNanos) {
            return;
        }
        IntCountsHistogram oldest = mPrevious;
        mPrevious = mPresent;
        mPresent = oldest;
        mPresent.reset();
        if (elapsed >= 2 * mWindowNanos) {
            mPrevious.reset();
        }
        mWindowStart = mTime.nanoTime();
        mQuantiles.clear();
        mRecordedSinceRefresh = 0;
    }
}
