package org.boragethread.core.rollout;

import java.time.Duration;

/**
 * A request that was recorded as running. Has exactly one outcome.
 *
 * @param request what was asked for
 * @param startedMillis time at which it was first recorded as running, in Unix milliseconds
 */
public record RolloutOrder(RolloutRequest request, long startedMillis) {

    /** Returns the time since the order was recorded. */
    public Duration age(long nowMillis) {
        return Duration.ofMillis(nowMillis - startedMillis);
    }

    /** Returns the elapsed part of the period; 1 at its end. */
    public double elapsedShare(long nowMillis) {
        return (double) (nowMillis - startedMillis) / request.period().toMillis();
    }
}
