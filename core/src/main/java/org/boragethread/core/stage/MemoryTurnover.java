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

    /** Time with memory in use below which there is no estimate. */
    private static final double MIN_OBSERVED_NANOS = 5e8;

    /**
     * Freed memory below which there is no estimate, as a share of the memory in use: at the
     * beginning of a burst much is in use and little was freed, however soon it will be. Results
     * that stay for four seconds reach twice this share in the time that is remembered.
     */
    private static final double MIN_FREED_SHARE = 0.25;

    private double mByteNanos;
    private double mFreedBytes;
    private double mObservedNanos;
    private long mSentBytes;
    private long mUsedBytes;
    private long mUpdatedAt;
    private long mInUseAt;
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
        if (!mStarted || usedBytes > 0) {
            mInUseAt = now;
        }
        if (now - mInUseAt > MEMORY_NANOS) {
            mByteNanos = 0;
            mFreedBytes = 0;
            mObservedNanos = 0;
        } else if (mStarted) {
            double nanos = now - mUpdatedAt;
            double kept = Math.exp(-nanos / MEMORY_NANOS);
            // Results are dropped in a longer time without a sample: the rest of it was idle.
            double occupiedNanos = Math.min(nanos, mMaxNanos);
            mByteNanos = mByteNanos * kept + occupiedNanos * (mUsedBytes + mSentBytes);
            mFreedBytes = mFreedBytes * kept + Math.max(0, mUsedBytes + mSentBytes - usedBytes);
            boolean isInUse = mUsedBytes + mSentBytes > 0;
            mObservedNanos = mObservedNanos * kept + (isInUse ? occupiedNanos : 0);
        }
        mStarted = true;
        mUsedBytes = usedBytes;
        mSentBytes = 0;
        mUpdatedAt = now;
    }

    /** Returns the mean time that a result occupies memory, in nanoseconds, if it is known. */
    OptionalDouble residenceNanos() {
        double leastFreed = (mUsedBytes + mSentBytes) * MIN_FREED_SHARE;
        boolean isKnown =
                mObservedNanos >= MIN_OBSERVED_NANOS
                        && mFreedBytes > 0
                        && mFreedBytes >= leastFreed;
        return isKnown
                ? OptionalDouble.of(Math.min(mMaxNanos, mByteNanos / mFreedBytes))
                : OptionalDouble.empty();
    }
}
