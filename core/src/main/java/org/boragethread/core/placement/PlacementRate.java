package org.boragethread.core.placement;

import java.time.Duration;
import java.util.OptionalDouble;

/**
 * Work that is placed per time while requests wait, in engines of usual speed. Slow engines, full
 * memory and rejected placements make it lower than the number of engines. Not thread-safe.
 */
final class PlacementRate {

    /** Time after which a placement counts for 1/e. */
    private static final double MEMORY_MILLIS = 2000;

    /** Shorter times with a queue say nothing about the rate. */
    private static final double MIN_MILLIS = Duration.ofMillis(700).toMillis();

    private double mWorkMillis;
    private double mMillis;
    private long mUpdatedAt;
    private boolean mQueued;

    /**
     * Accounts for the time since the last call.
     *
     * @param queued whether requests wait from now on
     */
    void update(boolean queued, long now) {
        double elapsed = (now - mUpdatedAt) / 1e6;
        mUpdatedAt = now;
        if (mQueued) {
            double kept = Math.exp(-elapsed / MEMORY_MILLIS);
            mWorkMillis *= kept;
            mMillis = mMillis * kept + MEMORY_MILLIS * (1 - kept);
        } else if (queued) {
            mWorkMillis = 0;
            mMillis = 0;
        }
        mQueued = queued;
    }

    /** Adds a placement. */
    void add(double workMillis) {
        mWorkMillis += workMillis;
    }

    /** Returns the rate; empty if requests have not waited long enough. */
    OptionalDouble get() {
        return mMillis < MIN_MILLIS
                ? OptionalDouble.empty()
                : OptionalDouble.of(mWorkMillis / mMillis);
    }
}
