package org.boragethread.entry.gateway;

import java.time.Duration;
import org.boragethread.model.routing.RequestKind;
import org.boragethread.model.routing.Route;

/** How long an upstream may stay silent before a repeatable request goes elsewhere. */
final class StallTimes {

    /** Multiple of the target latency in which almost every sound upstream answers. */
    private static final int PLAIN_TARGETS = 2;

    private static final Duration LEAST_PLAIN = Duration.ofMillis(250);

    /** Longest prompts take over a second to read. */
    private static final Duration FIRST_EVENT = Duration.ofMillis(2200);

    /** Pauses over a second make a stream late. */
    private static final Duration BETWEEN_EVENTS = Duration.ofMillis(1200);

    private StallTimes() {}

    static Duration of(Route route, boolean begun) {
        if (route.kind() == RequestKind.STREAMING) {
            return begun ? BETWEEN_EVENTS : FIRST_EVENT;
        }
        Duration patience = route.targetLatency().multipliedBy(PLAIN_TARGETS);
        return patience.compareTo(LEAST_PLAIN) < 0 ? LEAST_PLAIN : patience;
    }
}
