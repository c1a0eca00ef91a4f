package org.boragethread.core.log;

import java.time.Duration;
import java.util.Random;

/**
 * Exponential backoff with jitter: the delay doubles after each failure and is multiplied by a
 * random factor between one half and one. Not thread-safe.
 */
public final class Backoff {

    private static final int MAX_DOUBLINGS = 30;

    private final long mMinNanos;
    private final long mMaxNanos;
    private final Random mRandom;
    private int mFailures;

    /** Creates a backoff without failures. */
    public Backoff(Duration min, Duration max, long seed) {
        mMinNanos = min.toNanos();
        mMaxNanos = max.toNanos();
        mRandom = new Random(seed);
    }

    /** Counts a failure and returns the delay before the next attempt. */
    public Duration next() {
        long factor = 1L << Math.min(mFailures, MAX_DOUBLINGS);
        long delay = mMinNanos > mMaxNanos / factor ? mMaxNanos : mMinNanos * factor;
        mFailures = Math.min(mFailures + 1, MAX_DOUBLINGS);
        return Duration.ofNanos(delay / 2 + (long) (mRandom.nextDouble() * (delay / 2.0)));
    }

    /** Resets the failure count after a success. */
    public void reset() {
        mFailures = 0;
    }
}
