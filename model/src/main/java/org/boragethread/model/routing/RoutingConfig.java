package org.boragethread.model.routing;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.boragethread.model.upstream.GroupId;

/**
 * One version of the whole routing configuration.
 *
 * @param version its number; later configurations have greater ones
 * @param routes all routes
 * @param groups all groups by name
 * @param bounds bounds on what callers send
 * @param keys holders of the API keys; empty if callers need none
 */
public record RoutingConfig(
        long version,
        List<Route> routes,
        Map<GroupId, RoutedGroup> groups,
        CallerBounds bounds,
        Optional<Map<String, KeyHolder>> keys) {

    public RoutingConfig {
        routes = List.copyOf(routes);
        groups = Map.copyOf(groups);
        keys = keys.map(Map::copyOf);
    }
}
