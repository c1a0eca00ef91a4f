package org.boragethread.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.Route;
import org.boragethread.model.routing.RoutingConfig;

/**
 * The active routing configuration, and the data centres that are out of service. A configuration
 * is never replaced by an older one. Not thread-safe.
 */
public final class RoutingTable {

    private Optional<RoutingConfig> mConfig = Optional.empty();
    private Map<String, List<Route>> mRoutesByHost = Map.of();
    private final Set<DataCentreId> mEvacuated = new HashSet<>();

    /**
     * Activates a configuration if it is newer than the active one.
     *
     * @return whether the configuration was activated
     */
    public boolean replace(RoutingConfig config) {
        if (mConfig.isPresent() && mConfig.get().version() >= config.version()) {
            return false;
        }
        Map<String, List<Route>> routesByHost = new HashMap<>();
        for (Route route : config.routes()) {
            routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
        }
        for (List<Route> routes : routesByHost.values()) {
            routes.sort(Comparator.comparingInt((Route r) -> r.pathPrefix().length()).reversed());
        }
        mConfig = Optional.of(config);
        mRoutesByHost = routesByHost;
        return true;
    }

    /** Returns the active configuration. */
    public Optional<RoutingConfig> config() {
        return mConfig;
    }

    /**
     * Finds the route with the longest path prefix that matches.
     *
     * @param host host name in lower case, without a port
     * @param path path without the query
     */
    public Optional<Route> find(String host, String path) {
        for (Route route : mRoutesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Takes a data centre out of service, or puts it back into service.
     *
     * @return whether this changed its state
     */
    public boolean setEvacuated(DataCentreId dataCentre, boolean evacuated) {
        return evacuated ? mEvacuated.add(dataCentre) : mEvacuated.remove(dataCentre);
    }

    /** Returns the data centres that get no new work. */
    public Set<DataCentreId> evacuated() {
        return mEvacuated;
    }
}
