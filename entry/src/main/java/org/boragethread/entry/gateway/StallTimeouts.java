package org.boragethread.entry.gateway;

import java.time.Duration;
import org.boragethread.core.upstream.ResponseTimeModel;
import org.boragethread.model.routing.RequestKind;
import org.boragethread.model.routing.Route;

/** Timeouts after which an idempotent request to a silent upstream is retried at another one. */
final class StallTimeouts {

    /** Multiple of the target latency within which almost every healthy upstream responds. */
    private static final int PLAIN_TARGET_MULTIPLE = 2;

    /** Multiple of the expected time within which almost every healthy engine responds. */
    private static final int FIRST_EVENT_MULTIPLE = 5;

    /** Multiple of the target pause; a longer one has already cost the stream its full value. */
    private static final double GAP_MULTIPLE = 1.2;

    /** Shorter silences also occur at healthy upstreams that are busy for a moment. */
    private static final Duration MIN_SILENCE = Duration.ofMillis(250);

    private StallTimeouts() {}

    /**
     * Returns the timeout for the response, or for the first event of a stream.
     *
     * @param uncachedTokens prompt tokens that the upstream has to process
     * @param times response times of the group
     */
    static Duration first(Route route, long uncachedTokens, ResponseTimeModel times) {
        if (route.kind() != RequestKind.STREAMING) {
            return max(route.targetLatency().multipliedBy(PLAIN_TARGET_MULTIPLE), MIN_SILENCE);
        }
        double millis = FIRST_EVENT_MULTIPLE * times.expectedMillis(uncachedTokens);
        return MIN_SILENCE.plusMillis((long) millis);
    }

    /** Returns the timeout for the next event of a stream that has started. */
    static Duration betweenEvents(Route route) {
        long nanos = (long) (route.targetGap().toNanos() * GAP_MULTIPLE);
        return max(Duration.ofNanos(nanos), route.targetGap().plus(MIN_SILENCE));
    }

    private static Duration max(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }
}
