package org.boragethread.bench.path;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Histograms of request times and of gaps between tokens, in microseconds. */
final class Latencies {

    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram mRequests = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
    private final Histogram mGaps = new ConcurrentHistogram(SIGNIFICANT_DIGITS);

    void addRequest(long startNanos, long endNanos) {
        mRequests.recordValue(Math.max(0, TimeUnit.NANOSECONDS.toMicros(endNanos - startNanos)));
    }

    void addTokenGaps(List<Long> times) {
        for (int i = 1; i < times.size(); i++) {
            long gap = times.get(i) - times.get(i - 1);
            mGaps.recordValue(Math.max(0, TimeUnit.NANOSECONDS.toMicros(gap)));
        }
    }

    Histogram requests() {
        return mRequests;
    }

    Histogram tokenGaps() {
        return mGaps;
    }
}
