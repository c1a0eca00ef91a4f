package org.boragethread.model.routing;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Where the requests of one host and path prefix go.
 *
 * @param name name of the route
 * @param host host name that callers use, in lower case
 * @param pathPrefix prefix of the paths, with a slash at both ends
 * @param kind what may be repeated
 * @param timeout longest time until the final answer
 * @param targetLatency time within which an answer has its full worth
 * @param priority rank among routes; 0 is the most urgent
 * @param groups groups that share the requests; at least one
 * @param maxAttempts greatest number of upstreams that may run one request
 * @param stages work to be done first, in the order of their numbers
 * @param open whether callers need no API key
 * @param sticky whether requests carry the parts of their prompt, so that placement by cache pays
 * @param resumable whether a broken stream may go on at another upstream
 * @param regions regions to which requests may go; empty for all
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        Duration timeout,
        Duration targetLatency,
        int priority,
        List<WeightedGroup> groups,
        int maxAttempts,
        List<RouteStage> stages,
        boolean open,
        boolean sticky,
        boolean resumable,
        Set<String> regions) {

    public Route {
        Objects.requireNonNull(kind, "kind");
        groups = List.copyOf(groups);
        stages = List.copyOf(stages);
        regions = Set.copyOf(regions);
        if (groups.isEmpty()) {
            throw new IllegalArgumentException("route \"%s\" names no group".formatted(name));
        }
    }

    /** Tells whether a request may run more than once. */
    public boolean isIdempotent() {
        return kind == RequestKind.SAFE || kind == RequestKind.STREAMING && resumable;
    }

    /** Chooses a group by the given point of the interval from 0 to 1. */
    public WeightedGroup groupAt(double point) {
        double total = 0;
        for (WeightedGroup group : groups) {
            total += group.weight();
        }
        double rest = point * total;
        for (WeightedGroup group : groups) {
            rest -= group.weight();
            if (rest < 0) {
                return group;
            }
        }
        return groups.get(groups.size() - 1);
    }
}
