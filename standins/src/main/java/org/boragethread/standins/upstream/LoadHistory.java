package org.boragethread.standins.upstream;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Recent load samples of an upstream, reported with a lag. Thread-safe. */
final class LoadHistory {

    private final long mLagMs;
    private final Deque<Sample> mSamples = new ArrayDeque<>();

    /**
     * Creates an empty history.
     *
     * @param lagMs age of the reported load in milliseconds, or -1 to report none
     */
    LoadHistory(long lagMs) {
        mLagMs = lagMs;
    }

    /** Records the current load. */
    synchronized void record(int inFlight, int limit) {
        if (mLagMs >= 0) {
            mSamples.addLast(new Sample(System.nanoTime(), inFlight, limit));
            dropOldSamples();
        }
    }

    /** Returns the value of the {@code Upstream-Load} header if this upstream reports its load. */
    synchronized Optional<String> report() {
        if (mLagMs < 0 || mSamples.isEmpty()) {
            return Optional.empty();
        }
        dropOldSamples();
        Sample sample = mSamples.peekFirst();
        String load = "in-flight=%d;limit=%d;age-ms=%d";
        return Optional.of(load.formatted(sample.inFlight(), sample.limit(), mLagMs));
    }

    private void dropOldSamples() {
        long reportTimeNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(mLagMs);
        while (mSamples.size() > 1) {
            Sample oldest = mSamples.pollFirst();
            if (mSamples.peekFirst().timeNanos() > reportTimeNanos) {
                mSamples.addFirst(oldest);
                return;
            }
        }
    }

    /** Load at one point in time. */
    private record Sample(long timeNanos, int inFlight, int limit) {}
}
