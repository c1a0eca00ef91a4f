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
 * Histogram of durations observed during the current and the previous time window. Older
 * observations are discarded, so that estimates follow changes of the observed system. Thread-safe.
 */
public final class ServiceTimes {

    private static final int SIGNIFICANT_DIGITS = 2;
    private static final long MAX_MICROS = TimeUnit.HOURS.toMicros(1);
    private static final int REFRESH_DIVISOR = 16;

    private final TimeSource mTime;
    private final long mWindowNanos;
    private final int mMinSamples;
    private final Map<Double, Duration> mQuantiles = new HashMap<>();
    private IntCountsHistogram mCurrent = new IntCountsHistogram(SIGNIFICANT_DIGITS);
    private IntCountsHistogram mPrevious = new IntCountsHistogram(SIGNIFICANT_DIGITS);
    private long mWindowStartNanos;
    private long mRecordedSinceRefresh;

    /**
     * Creates an empty histogram.
     *
     * @param window length of a window; each observation is kept for one to two windows
     * @param minSamples minimum number of observations for an estimate, at least 1
     */
    public ServiceTimes(TimeSource time, Duration window, int minSamples) {
        mTime = Objects.requireNonNull(time, "time");
        mWindowNanos = window.toNanos();
        mMinSamples = Math.max(1, minSamples);
        mWindowStartNanos = time.nanoTime();
    }

    /** Records an observation. */
    public synchronized void record(Duration duration) {
        rotate();
        long micros = TimeUnit.NANOSECONDS.toMicros(duration.toNanos());
        mCurrent.recordValue(Math.min(MAX_MICROS, Math.max(0, micros)));
        mRecordedSinceRefresh++;
    }

    /** Returns the number of observations currently kept. */
    public synchronized long count() {
        rotate();
        return total();
    }

    /**
     * Returns the duration that the given fraction of observations did not exceed. Results are
     * cached until a sixteenth of the observations are new.
     *
     * @param fraction from 0 to 1
     * @return empty if there are too few recent observations
     */
    public synchronized Optional<Duration> quantile(double fraction) {
        rotate();
        if (total() < mMinSamples) {
            return Optional.empty();
        }
        if (mRecordedSinceRefresh * REFRESH_DIVISOR >= total()) {
            mQuantiles.clear();
            mRecordedSinceRefresh = 0;
        }
        return Optional.of(mQuantiles.computeIfAbsent(fraction, this::compute));
    }

    private Duration compute(double fraction) {
        IntCountsHistogram merged = mCurrent.copy();
        merged.add(mPrevious);
        long micros = merged.getValueAtPercentile(fraction * 100);
        return Duration.ofNanos(TimeUnit.MICROSECONDS.toNanos(micros));
    }

    private long total() {
        return mCurrent.getTotalCount() + mPrevious.getTotalCount();
    }

    private void rotate() {
        long elapsed = mTime.nanoTime() - mWindowStartNanos;
        if (elapsed < mWindowNanos) {
            return;
        }
        IntCountsHistogram oldest = mPrevious;
        mPrevious = mCurrent;
        mCurrent = oldest;
        mCurrent.reset();
        if (elapsed >= 2 * mWindowNanos) {
            mPrevious.reset();
        }
        mWindowStartNanos = mTime.nanoTime();
        mQuantiles.clear();
        mRecordedSinceRefresh = 0;
    }
}
