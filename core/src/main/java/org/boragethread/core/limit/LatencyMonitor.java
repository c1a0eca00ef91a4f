package org.boragethread.core.limit;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import org.boragethread.core.deadline.ServiceTimes;
import org.boragethread.core.time.TimeSource;

/**
 * Compares the latency of recent answers with the usual one. The usual latency is learnt from all
 * answers but those of a slow window under load, so that an overloaded upstream does not pass off
 * its latency as usual; answers at low load are always learnt.
 */
final class LatencyMonitor {

    private static final Duration BASELINE_WINDOW = Duration.ofSeconds(60);
    private static final int BASELINE_MIN_SAMPLES = 16;
    private static final int MIN_RECENT_SAMPLES = 8;
    private static final int MAX_RECENT_SAMPLES = 256;
    private static final Duration MIN_RECENT_WINDOW = Duration.ofMillis(100);
    private static final int SEVERE_IN_A_ROW = 4;
    private static final double JUMP_FACTOR = 2.5;
    private static final double SEVERE_FACTOR = 4;
    private static final double SEVERE_TAIL_FACTOR = 1.5;
    private static final long MIN_DIFFERENCE_NANOS = Duration.ofMillis(20).toNanos();

    private final ServiceTimes mBaseline;
    private final TimeSource mTime;
    private final long[] mRecent = new long[MAX_RECENT_SAMPLES];
    private int mRecentCount;
    private long mWindowStart;
    private int mSevere;

    LatencyMonitor(TimeSource time) {
        mTime = time;
        mBaseline = new ServiceTimes(time, BASELINE_WINDOW, BASELINE_MIN_SAMPLES);
    }

    /** What the last answers say about the upstream. */
    enum Assessment {
        NORMAL,
        JUMP,
        SEVERE
    }

    /** Returns the usual latency, if enough answers are known. */
    Optional<Duration> baseline() {
        return mBaseline.quantile(0.5);
    }

    /** Forgets the recent answers, which were given under another limit. */
    void resetRecent() {
        mRecentCount = 0;
        mSevere = 0;
    }

    /** Judges one more answer. */
    Assessment add(Duration latency, boolean lowLoad) {
        if (lowLoad) {
            mBaseline.record(latency);
        }
        Optional<Duration> usual = baseline();
        if (usual.isEmpty()) {
            recordUnless(lowLoad, latency);
            return Assessment.NORMAL;
        }
        long nanos = latency.toNanos();
        mSevere = isSevere(nanos, usual.get().toNanos()) ? mSevere + 1 : 0;
        if (mSevere >= SEVERE_IN_A_ROW) {
            resetRecent();
            return Assessment.SEVERE;
        }
        // Negative values mark answers that the baseline already holds.
        addRecent(lowLoad ? -nanos : nanos);
        return isWindowFull() ? judgeWindow(usual.get().toNanos()) : Assessment.NORMAL;
    }

    private void addRecent(long nanos) {
        if (mRecentCount == 0) {
            mWindowStart = mTime.nanoTime();
        }
        mRecent[mRecentCount % MAX_RECENT_SAMPLES] = nanos;
        mRecentCount++;
    }

    /** A window lasts long enough that one pause of a process does not shift its median. */
    private boolean isWindowFull() {
        return mRecentCount >= MIN_RECENT_SAMPLES
                && mTime.since(mWindowStart).compareTo(MIN_RECENT_WINDOW) >= 0;
    }

    private void recordUnless(boolean recorded, Duration latency) {
        if (!recorded) {
            mBaseline.record(latency);
        }
    }

    private Assessment judgeWindow(long usual) {
        long[] recent = Arrays.copyOf(mRecent, Math.min(mRecentCount, MAX_RECENT_SAMPLES));
        mRecentCount = 0;
        long[] sorted = Arrays.stream(recent).map(Math::abs).sorted().toArray();
        long median = sorted[sorted.length / 2];
        long tail = mBaseline.quantile(0.9).map(Duration::toNanos).orElse(usual);
        if (median > JUMP_FACTOR * usual
                && median > tail
                && median - usual > MIN_DIFFERENCE_NANOS) {
            return Assessment.JUMP;
        }
        for (long nanos : recent) {
            if (nanos > 0) {
                mBaseline.record(Duration.ofNanos(nanos));
            }
        }
        return Assessment.NORMAL;
    }

    private boolean isSevere(long nanos, long usual) {
        long tail = mBaseline.quantile(0.95).map(Duration::toNanos).orElse(usual);
        return nanos > SEVERE_FACTOR * usual
                && nanos > SEVERE_TAIL_FACTOR * tail
                && nanos - usual > MIN_DIFFERENCE_NANOS;
    }
}
