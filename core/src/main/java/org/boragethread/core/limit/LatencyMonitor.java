package org.boragethread.core.limit;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import org.boragethread.core.deadline.ServiceTimes;
import org.boragethread.core.time.TimeSource;

/**
 * Compares the latency of recent responses with a baseline. The baseline includes all responses
 * except those in a slow window under load, so that the latency of an overloaded upstream does not
 * become the baseline. Responses at low load are always included.
 */
final class LatencyMonitor {

    private static final Duration BASELINE_WINDOW = Duration.ofSeconds(60);
    private static final int BASELINE_MIN_SAMPLES = 16;
    private static final int MIN_RECENT_SAMPLES = 8;
    private static final int MAX_RECENT_SAMPLES = 256;
    private static final Duration MIN_RECENT_WINDOW = Duration.ofMillis(100);
    private static final int MIN_CONSECUTIVE_SEVERE = 4;
    private static final double JUMP_FACTOR = 2.5;
    private static final double SEVERE_FACTOR = 4;
    private static final double SEVERE_TAIL_FACTOR = 1.5;
    private static final long MIN_DIFFERENCE_NANOS = Duration.ofMillis(20).toNanos();

    private final ServiceTimes mBaseline;
    private final TimeSource mTime;
    private final long[] mRecent = new long[MAX_RECENT_SAMPLES];
    private int mRecentCount;
    private long mWindowStartNanos;
    private int mConsecutiveSevere;

    LatencyMonitor(TimeSource time) {
        mTime = time;
        mBaseline = new ServiceTimes(time, BASELINE_WINDOW, BASELINE_MIN_SAMPLES);
    }

    /** What recent latencies indicate about the upstream. */
    enum Assessment {
        NORMAL,
        JUMP,
        SEVERE
    }

    /** Returns the median of the baseline, or empty if there are too few responses. */
    Optional<Duration> baseline() {
        return mBaseline.quantile(0.5);
    }

    /** Discards recent latencies, which were observed under a different limit. */
    void resetRecent() {
        mRecentCount = 0;
        mConsecutiveSevere = 0;
    }

    /** Adds the latency of a response and returns what it indicates. */
    Assessment add(Duration latency, boolean lowLoad) {
        if (lowLoad) {
            mBaseline.record(latency);
        }
        Optional<Duration> baseline = baseline();
        if (baseline.isEmpty()) {
            recordInBaselineUnless(lowLoad, latency);
            return Assessment.NORMAL;
        }
        long nanos = latency.toNanos();
        mConsecutiveSevere = isSevere(nanos, baseline.get().toNanos()) ? mConsecutiveSevere + 1 : 0;
        if (mConsecutiveSevere >= MIN_CONSECUTIVE_SEVERE) {
            resetRecent();
            return Assessment.SEVERE;
        }
        // Negative values mark responses that are already in the baseline.
        addRecent(lowLoad ? -nanos : nanos);
        return isWindowFull() ? assessWindow(baseline.get().toNanos()) : Assessment.NORMAL;
    }

    private void addRecent(long nanos) {
        if (mRecentCount == 0) {
            mWindowStartNanos = mTime.nanoTime();
        }
        mRecent[mRecentCount % MAX_RECENT_SAMPLES] = nanos;
        mRecentCount++;
    }

    /**
     * Returns whether the window has enough responses and lasts long enough that a single pause of
     * a process does not shift its median.
     */
    private boolean isWindowFull() {
        return mRecentCount >= MIN_RECENT_SAMPLES
                && mTime.since(mWindowStartNanos).compareTo(MIN_RECENT_WINDOW) >= 0;
    }

    private void recordInBaselineUnless(boolean recorded, Duration latency) {
        if (!recorded) {
            mBaseline.record(latency);
        }
    }

    private Assessment assessWindow(long baseline) {
        long[] recent = Arrays.copyOf(mRecent, Math.min(mRecentCount, MAX_RECENT_SAMPLES));
        mRecentCount = 0;
        long[] sorted = Arrays.stream(recent).map(Math::abs).sorted().toArray();
        long median = sorted[sorted.length / 2];
        long tail = mBaseline.quantile(0.9).map(Duration::toNanos).orElse(baseline);
        if (median > JUMP_FACTOR * baseline
                && median > tail
                && median - baseline > MIN_DIFFERENCE_NANOS) {
            return Assessment.JUMP;
        }
        for (long nanos : recent) {
            if (nanos > 0) {
                mBaseline.record(Duration.ofNanos(nanos));
            }
        }
        return Assessment.NORMAL;
    }

    private boolean isSevere(long nanos, long baseline) {
        long tail = mBaseline.quantile(0.95).map(Duration::toNanos).orElse(baseline);
        return nanos > SEVERE_FACTOR * baseline
                && nanos > SEVERE_TAIL_FACTOR * tail
                && nanos - baseline > MIN_DIFFERENCE_NANOS;
    }
}
