package org.boragethread.model.routing;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Route of the requests to one host and path prefix.
 *
 * @param name name of the route
 * @param host host name that callers use, in lower case
 * @param pathPrefix path prefix, starting and ending with a slash
 * @param kind whether requests may be repeated
 * @param timeout maximum time until the response is complete
 * @param targetLatency time within which a response has its full value
 * @param targetGap longest pause between the events of a stream that has its full value
 * @param priority priority among routes; 0 is the most urgent
 * @param groups groups that the requests are distributed to; at least one
 * @param maxAttempts maximum number of upstreams that may run one request
 * @param stages stages that must complete before the request runs, in the order of their numbers
 * @param publicAccess whether callers need no API key
 * @param sticky whether requests state the parts of their prompt and are placed by cached prefix
 * @param resumable whether an interrupted stream may resume at another upstream
 * @param regions regions that may receive the requests; empty for all
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        Duration timeout,
        Duration targetLatency,
        Duration targetGap,
        int priority,
        List<WeightedGroup> groups,
        int maxAttempts,
        List<RouteStage> stages,
        boolean publicAccess,
        boolean sticky,
        boolean resumable,
        Set<String> regions) {

    public Route {
        Objects.requireNonNull(kind, "kind");
        groups = List.copyOf(groups);
        stages = List.copyOf(stages);
        regions = Set.copyOf(regions);
        if (groups.isEmpty()) {
            throw new IllegalArgumentException("route \"%s\" has no group".formatted(name));
        }
    }

    /** Returns the name, or the host and path prefix of a route without one. */
    public String label() {
        return name.isEmpty() ? host + pathPrefix : name;
    }

    /** Returns whether a request may run more than once. */
    public boolean isIdempotent() {
        return kind == RequestKind.SAFE || kind == RequestKind.STREAMING && resumable;
    }

    /**
     * Chooses a group according to the weights.
     *
     * @param point uniformly distributed random number from 0 (inclusive) to 1 (exclusive)
     */
    public WeightedGroup groupAt(double point) {
        double total = 0;
        for (WeightedGroup group : groups) {
            total += group.weight();
        }
        double remaining = point * total;
        for (WeightedGroup group : groups) {
            remaining -= group.weight();
            if (remaining < 0) {
                return group;
            }
        }
        return groups.get(groups.size() - 1);
    }
}
