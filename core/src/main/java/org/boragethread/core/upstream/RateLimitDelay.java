package org.boragethread.core.upstream;

import java.time.Duration;
import java.util.Optional;

/**
 * How the limits that all upstreams of a group name hold back the calls of this process.
 *
 * @param untilNext time until this process may send a call; empty if it has no share
 * @param callsPerSecond calls that this process may send
 * @param limit calls per second that the upstreams accept from all processes together
 */
public record RateLimitDelay(Optional<Duration> untilNext, double callsPerSecond, double limit) {

    /**
     * Returns the time until this process may send a request, if it may at all.
     *
     * @param ahead waiting requests that are sent before it
     */
    public Optional<Duration> untilCall(int ahead) {
        return untilNext.map(next -> next.plus(timeOf(ahead, callsPerSecond)));
    }

    /** Returns the average time between two calls of all processes together. */
    public Duration interval() {
        return timeOf(1, limit);
    }

    private static Duration timeOf(int calls, double perSecond) {
        if (calls == 0) {
            return Duration.ZERO;
        }
        double seconds = Math.min(Duration.ofHours(1).toSeconds(), calls / perSecond);
        return Duration.ofNanos((long) (seconds * 1e9));
    }
}
