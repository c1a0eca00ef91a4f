package org.boragethread.standins.upstream;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Past load of an upstream, reported with a lag. Safe for use by several threads. */
final class LoadHistory {

    private final long mLagMs;
    private final Deque<Sample> mSamples = new ArrayDeque<>();

    /**
     * Makes a history.
     *
     * @param lagMs age of reports in milliseconds, or -1 to report none
     */
    LoadHistory(long lagMs) {
        mLagMs = lagMs;
    }

    /** Notes the present load. */
    synchronized void record(int inFlight, int limit) {
        if (mLagMs >= 0) {
            mSamples.addLast(new Sample(System.nanoTime(), inFlight, limit));
            dropOld();
        }
    }

    /** Returns the value of {@code Upstream-Load}, if this upstream reports its load. */
    synchronized Optional<String> report() {
        if (mLagMs < 0 || mSamples.isEmpty()) {
            return Optional.empty();
        }
        dropOld();
        Sample sample = mSamples.peekFirst();
        String load = "in-flight=%d;limit=%d;age-ms=%d";
        return Optional.of(load.formatted(sample.inFlight(), sample.limit(), mLagMs));
    }

    private void dropOld() {
        long wanted = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(mLagMs);
        while (mSamples.size() > 1) {
            Sample oldest = mSamples.pollFirst();
            if (mSamples.peekFirst().timeNanos() > wanted) {
                mSamples.addFirst(oldest);
                return;
            }
        }
    }

    /** Load at one time. */
    private record Sample(long timeNanos, int inFlight, int limit) {}
}
