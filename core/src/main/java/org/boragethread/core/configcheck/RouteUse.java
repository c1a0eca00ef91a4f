package org.boragethread.core.configcheck;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.boragethread.model.routing.Route;
import org.boragethread.model.routing.RoutingConfig;

/** Finds routes that no request matches or may use. */
final class RouteUse {

    private RouteUse() {}

    /** Finds routes whose requests all go to an earlier one. */
    static List<Finding> findShadowedRoutes(RoutingConfig config) {
        Map<List<String>, Route> firstRoutes = new HashMap<>();
        List<Finding> findings = new ArrayList<>();
        for (int i = 0; i < config.routes().size(); i++) {
            Route route = config.routes().get(i);
            Route first = firstRoutes.putIfAbsent(List.of(route.host(), route.pathPrefix()), route);
            if (first != null) {
                findings.add(
                        Finding.unused(
                                "shadowed-route",
                                Place.route(i),
                                "route %s never matches: route %s has the same host and path prefix"
                                        .formatted(route.label(), first.label()),
                                "remove one of them, or give this one a longer path prefix"));
            }
        }
        return findings;
    }

    /**
     * Finds a host that no request can name. Gateways compare it with the Host header in lower
     * case, up to the last colon.
     */
    static Optional<Finding> findUnmatchableHost(RoutingConfig config, Route route, int index) {
        String host = route.host();
        boolean isIpv6 = host.startsWith("[") && host.endsWith("]");
        boolean isMatchable =
                host.chars().allMatch(c -> c > ' ' && c < 0x7f)
                        && (isIpv6 || host.indexOf(':') < 0);
        if (isMatchable) {
            return Optional.empty();
        }
        return Optional.of(
                Finding.unused(
                        "unmatchable-host",
                        Place.route(index).at(Field.HOST),
                        "route %s never matches: no valid request names the host \"%s\""
                                .formatted(route.label(), host),
                        "use a host name without a port, spaces and letters beyond ASCII"));
    }

    static Optional<Finding> findUnmatchablePath(RoutingConfig config, Route route, int index) {
        String prefix = route.pathPrefix();
        boolean isMatchable =
                (prefix.isEmpty() || prefix.startsWith("/"))
                        && prefix.chars().allMatch(c -> c > ' ' && c < 0x7f && c != '?');
        if (isMatchable) {
            return Optional.empty();
        }
        return Optional.of(
                Finding.unused(
                        "unmatchable-path",
                        Place.route(index).at(Field.PATH_PREFIX),
                        "route %s never matches: no valid path begins with \"%s\""
                                .formatted(route.label(), prefix),
                        "start it with a slash; leave out queries, spaces and characters beyond"
                                + " ASCII"));
    }

    static Optional<Finding> findMissingKeys(RoutingConfig config, Route route, int index) {
        if (route.publicAccess() || !config.keys().map(Map::isEmpty).orElse(false)) {
            return Optional.empty();
        }
        return Optional.of(
                Finding.unused(
                        "no-key",
                        Place.route(index),
                        "route %s needs an API key but no tenant has one".formatted(route.label()),
                        "give a tenant a key, or make the route public"));
    }
}
