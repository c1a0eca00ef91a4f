package org.boragethread.core.stage;

import java.time.Duration;
import java.util.OptionalDouble;

/**
 * Estimates how long results occupy memory, from the memory in use over time and the memory that
 * was taken: by Little's law their ratio is the mean time that a byte stays. Not thread-safe.
 */
final class MemoryTurnover {

    /** Time constant with which observations are forgotten. */
    private static final double MEMORY_NANOS = 2e9;

    /** Observed time below which there is no estimate. */
    private static final double MIN_OBSERVED_NANOS = 5e8;

    private double mByteNanos;
    private double mFreedBytes;
    private double mObservedNanos;
    private long mSentBytes;
    private long mUsedBytes;
    private long mUpdatedAt;
    private double mMaxNanos;
    private boolean mStarted;

    /** Counts memory that results of a call will occupy. */
    void onSent(long bytes) {
        mSentBytes += bytes;
    }

    /**
     * Records the memory in use in all upstreams.
     *
     * @param maxResidence time after which a result that was not freed is dropped
     */
    void update(long usedBytes, Duration maxResidence, long now) {
        mMaxNanos = maxResidence.toNanos();
        if (mStarted) {
            double nanos = now - mUpdatedAt;
            double kept = Math.exp(-nanos / MEMORY_NANOS);
            // Results are dropped in a longer time without a sample: the rest of it was idle.
            double occupiedNanos = Math.min(nanos, mMaxNanos);
            mByteNanos = mByteNanos * kept + occupiedNanos * (mUsedBytes + mSentBytes);
            mFreedBytes = mFreedBytes * kept + Math.max(0, mUsedBytes + mSentBytes - usedBytes);
            mObservedNanos = mObservedNanos * kept + nanos;
        }
        mStarted = true;
        mUsedBytes = usedBytes;
        mSentBytes = 0;
        mUpdatedAt = now;
    }

    /** Returns the mean time that a result occupies memory, in nanoseconds, if it is known. */
    OptionalDouble residenceNanos() {
        boolean isKnown = mObservedNanos >= MIN_OBSERVED_NANOS && mFreedBytes > 0;
        return isKnown
                ? OptionalDouble.of(Math.min(mMaxNanos, mByteNanos / mFreedBytes))
                : OptionalDouble.empty();
    }
}
