package org.boragethread.core.placement;

import java.time.Duration;

/**
 * Time that an engine needs for a prompt, as a multiple of the expected time, learned from recent
 * first events. Without new ones it returns to 1, so that an engine that was slow is tried again.
 * Not thread-safe.
 */
final class EngineSpeed {

    /**
     * Weight of a sample above the average. With more than half, two slow prompts in a row set most
     * of the average, as each prompt that is sent to a slow engine is late.
     */
    private static final double SLOWER_WEIGHT = 0.6;

    /**
     * Weight of a sample below the average; lower, as one fast prompt of a slow engine is chance.
     */
    private static final double FASTER_WEIGHT = 0.4;

    private static final double MIN_SLOWNESS = 0.2;
    private static final double MAX_SLOWNESS = 20;

    /** Age of the last sample at which the difference from 1 has fallen to a quarter. */
    private static final double MEMORY_NANOS = Duration.ofSeconds(2).toNanos();

    /**
     * An unfinished prompt that has taken longer than expected probably takes longer still, by this
     * share of its time so far. Without it, a hung engine would always seem to be about to finish.
     */
    private static final double OVERDUE_EXCESS = 0.25;

    private double mSlowness = 1;
    private long mSampledAt;

    /** Adds the time of a prompt as a multiple of the expected time. */
    void add(double slowness, long now) {
        double sample = clamp(slowness);
        double current = slowness(now);
        double weight = sample > current ? SLOWER_WEIGHT : FASTER_WEIGHT;
        mSlowness = current + weight * (sample - current);
        mSampledAt = now;
    }

    /** Returns the present slowness. */
    double slowness(long now) {
        double age = 1 + (now - mSampledAt) / MEMORY_NANOS;
        return 1 + (mSlowness - 1) / (age * age);
    }

    /**
     * Returns the present slowness, given an unfinished prompt.
     *
     * @param expectedMillis time that the prompt needs at slowness 1
     * @param elapsedMillis time for which it is certainly unfinished
     */
    double slowness(long now, double expectedMillis, double elapsedMillis) {
        double learned = slowness(now);
        if (elapsedMillis <= expectedMillis * learned) {
            return learned;
        }
        return clamp((1 + OVERDUE_EXCESS) * elapsedMillis / expectedMillis);
    }

    private static double clamp(double slowness) {
        return Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, slowness));
    }
}
