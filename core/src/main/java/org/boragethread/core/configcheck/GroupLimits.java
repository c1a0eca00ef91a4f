package org.boragethread.core.configcheck;

import java.util.Optional;
import org.boragethread.model.routing.RoutedGroup;
import org.boragethread.model.routing.RoutingConfig;

/** Finds limits of a group that contradict each other or let nothing through. */
final class GroupLimits {

    private static final String USE_ONE = "use 1 or more";

    private GroupLimits() {}

    static Optional<Finding> findNoConnection(RoutingConfig config, RoutedGroup group) {
        return tooSmall(
                group.maxConnections() < 1,
                "no-connection",
                Place.group(group.id()).at(Field.MAX_CONNECTIONS),
                "upstreams of service %s accept no connection; gateways do not enforce it"
                        .formatted(group.id()));
    }

    static Optional<Finding> findNoBatchSlot(RoutingConfig config, RoutedGroup group) {
        return tooSmall(
                group.batch().isPresent() && group.batch().get().slots() < 1,
                "no-batch-slot",
                Place.group(group.id()).at(Field.BATCH_LIMITS).at(Field.SLOTS),
                "upstreams of service %s get no call with pieces".formatted(group.id()));
    }

    static Optional<Finding> findNoEngineSlot(RoutingConfig config, RoutedGroup group) {
        return tooSmall(
                group.engine().isPresent() && group.engine().get().slots() < 1,
                "no-engine-slot",
                Place.group(group.id()).at(Field.ENGINE).at(Field.SLOTS),
                "engines of service %s process no request".formatted(group.id()));
    }

    static Optional<Finding> findNoEngineMemory(RoutingConfig config, RoutedGroup group) {
        return tooSmall(
                group.engine().isPresent() && group.engine().get().cacheTokens() < 1,
                "no-engine-memory",
                Place.group(group.id()).at(Field.ENGINE).at(Field.CACHE_TOKENS),
                "engines of service %s have no memory for tokens".formatted(group.id()));
    }

    private static Optional<Finding> tooSmall(
            boolean broken, String rule, Place place, String message) {
        return broken
                ? Optional.of(Finding.contradiction(rule, place, message, USE_ONE))
                : Optional.empty();
    }

    static Optional<Finding> findFewConnections(RoutingConfig config, RoutedGroup group) {
        long calls =
                Math.max(
                        group.engine().map(engine -> (long) engine.slots()).orElse(0L),
                        group.batch().map(b -> (long) b.slots() + b.queue()).orElse(0L));
        if (group.maxConnections() < 1 || calls <= group.maxConnections()) {
            return Optional.empty();
        }
        return Optional.of(
                Finding.contradiction(
                        "few-connections",
                        Place.group(group.id()).at(Field.MAX_CONNECTIONS),
                        "upstreams of service %s accept %d connections but up to %d concurrent"
                                        .formatted(group.id(), group.maxConnections(), calls)
                                + " calls; gateways do not enforce it",
                        "allow as many connections as slots and queued calls, or fewer of those"));
    }
}
