package org.boragethread.core.configcheck;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.model.routing.RequestKind;
import org.boragethread.model.routing.Route;
import org.boragethread.model.routing.RoutingConfig;

/** Finds limits of a route that contradict each other. */
final class RouteLimits {

    /** Target of a route whose document states none. */
    private static final Duration DEFAULT_TARGET = Duration.ofSeconds(1);

    private RouteLimits() {}

    static Optional<Finding> findNoTime(RoutingConfig config, Route route, int index) {
        if (hasTime(route)) {
            return Optional.empty();
        }
        return Optional.of(
                Finding.contradiction(
                        "no-time",
                        Place.route(index).at(Field.TIMEOUT),
                        "the time-out is below 1 ms: all requests are refused",
                        "use a time-out of 1 ms or more"));
    }

    private static boolean hasTime(Route route) {
        return route.timeout().toMillis() > 0;
    }

    static Optional<Finding> findLateTarget(RoutingConfig config, Route route, int index) {
        if (!hasTime(route) || route.targetLatency().compareTo(route.timeout()) <= 0) {
            return Optional.empty();
        }
        return Optional.of(late("late-target", index, Field.TARGET_LATENCY, route.targetLatency()));
    }

    static Optional<Finding> findLateGap(RoutingConfig config, Route route, int index) {
        boolean isStream = route.kind() == RequestKind.STREAMING;
        if (!isStream || !hasTime(route) || route.targetGap().compareTo(route.timeout()) <= 0) {
            return Optional.empty();
        }
        return Optional.of(late("late-gap", index, Field.TARGET_GAP, route.targetGap()));
    }

    private static Finding late(String rule, int index, Field field, Duration target) {
        return Finding.contradiction(
                rule,
                Place.route(index).at(field),
                "the %starget of %d ms is longer than the route's time-out"
                        .formatted(
                                target.equals(DEFAULT_TARGET) ? "default " : "", target.toMillis()),
                "state a target up to the time-out");
    }

    static Optional<Finding> findUnusedAttempts(RoutingConfig config, Route route, int index) {
        if (route.maxAttempts() <= 1 || route.isIdempotent()) {
            return Optional.empty();
        }
        return Optional.of(
                Finding.contradiction(
                        "unused-attempts",
                        Place.route(index).at(Field.MAX_ATTEMPTS),
                        "%d attempts are allowed but requests of route %s run at most once"
                                .formatted(route.maxAttempts(), route.label()),
                        "allow 1 attempt; if repeating does no harm, use the kind safe, or"
                                + " streaming and resumable"));
    }

    static Optional<Finding> findResumptionWithoutStream(
            RoutingConfig config, Route route, int index) {
        if (!route.resumable() || route.kind() == RequestKind.STREAMING) {
            return Optional.empty();
        }
        return Optional.of(
                Finding.contradiction(
                        "resumable-without-stream",
                        Place.route(index).at(Field.RESUMABLE),
                        "route %s is resumable but its kind is not streaming"
                                .formatted(route.label()),
                        "use the kind streaming, or make it not resumable"));
    }
}
