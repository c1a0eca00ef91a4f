package org.boragethread.entry.gateway;

import java.time.Duration;
import org.boragethread.model.routing.RequestKind;
import org.boragethread.model.routing.Route;

/** Timeouts after which an idempotent request to a silent upstream is retried at another one. */
final class StallTimeouts {

    /** Multiple of the target latency within which almost every healthy upstream responds. */
    private static final int PLAIN_TARGET_MULTIPLE = 2;

    private static final Duration MIN_PLAIN = Duration.ofMillis(250);

    /** The longest prompts take over a second to prefill. */
    private static final Duration FIRST_EVENT = Duration.ofMillis(2200);

    /** A stream with a pause of over a second misses its latency target. */
    private static final Duration BETWEEN_EVENTS = Duration.ofMillis(1200);

    private StallTimeouts() {}

    static Duration of(Route route, boolean started) {
        if (route.kind() == RequestKind.STREAMING) {
            return started ? BETWEEN_EVENTS : FIRST_EVENT;
        }
        Duration timeout = route.targetLatency().multipliedBy(PLAIN_TARGET_MULTIPLE);
        return timeout.compareTo(MIN_PLAIN) < 0 ? MIN_PLAIN : timeout;
    }
}
