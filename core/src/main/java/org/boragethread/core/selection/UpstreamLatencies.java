package org.boragethread.core.selection;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.upstream.UpstreamId;

/**
 * Latencies of the upstreams of a group as observed by this process: moving averages whose
 * influence decays with time, so that a slow upstream is tried again. One lock guards the table.
 */
public final class UpstreamLatencies implements RelativeLatencies {

    private static final double SAMPLE_WEIGHT = 0.1;
    private static final double MIN_RELATIVE = 0.5;
    private static final double MAX_RELATIVE = 20;
    private static final int MEDIAN_REFRESH_DIVISOR = 4;
    private static final double HALF_LIFE_NANOS = Duration.ofSeconds(5).toNanos();

    private final TimeSource mTime;
    private final Map<UpstreamId, Average> mAverages = new HashMap<>();
    private double mGroupMedianNanos;
    private int mSamplesSinceMedian;

    /** Creates a table without observations. */
    public UpstreamLatencies(TimeSource time) {
        mTime = Objects.requireNonNull(time, "time");
    }

    /** Records the latency of a complete response, excluding queue time at the agent. */
    public synchronized void record(UpstreamId upstream, Duration latency) {
        double nanos = latency.toNanos();
        Average average = mAverages.computeIfAbsent(upstream, id -> new Average(nanos));
        average.mNanos += SAMPLE_WEIGHT * (nanos - average.mNanos);
        average.mRecordedNanos = mTime.nanoTime();
        mSamplesSinceMedian++;
        if (mSamplesSinceMedian * MEDIAN_REFRESH_DIVISOR >= mAverages.size()) {
            mGroupMedianNanos = median();
        }
    }

    /** Removes upstreams that no longer exist. */
    public synchronized void retain(Collection<UpstreamId> upstreams) {
        mAverages.keySet().retainAll(upstreams);
        mGroupMedianNanos = median();
    }

    @Override
    public synchronized double relativeLatency(UpstreamId upstream) {
        Average average = mAverages.get(upstream);
        if (average == null || mGroupMedianNanos <= 0) {
            return 1;
        }
        double relative = average.mNanos / mGroupMedianNanos;
        double bounded = Math.max(MIN_RELATIVE, Math.min(MAX_RELATIVE, relative));
        double age = mTime.nanoTime() - average.mRecordedNanos;
        return 1 + (bounded - 1) * Math.pow(0.5, age / HALF_LIFE_NANOS);
    }

    private double median() {
        mSamplesSinceMedian = 0;
        double[] sorted = mAverages.values().stream().mapToDouble(a -> a.mNanos).sorted().toArray();
        return sorted.length == 0 ? 0 : sorted[(sorted.length - 1) / 2];
    }

    /** Moving average of the latency of one upstream. */
    private static final class Average {
        private double mNanos;
        private long mRecordedNanos;

        Average(double nanos) {
            mNanos = nanos;
        }
    }
}
