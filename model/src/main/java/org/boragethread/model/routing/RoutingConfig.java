package org.boragethread.model.routing;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.boragethread.model.upstream.GroupId;

/**
 * One version of the complete routing configuration.
 *
 * @param version version number; later configurations have greater numbers
 * @param routes all routes
 * @param groups all groups by name
 * @param bounds limits for callers' requests
 * @param keys holders of the API keys by key; empty if callers need no key
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
