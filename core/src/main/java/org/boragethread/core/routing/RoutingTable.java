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
 * The routing configuration in force and the data centres taken out of service. A configuration is
 * never replaced by an older one. Not safe for use by several threads.
 */
public final class RoutingTable {

    private Optional<RoutingConfig> mConfig = Optional.empty();
    private Map<String, List<Route>> mByHost = Map.of();
    private final Set<DataCentreId> mEvacuated = new HashSet<>();

    /**
     * Puts a configuration in force.
     *
     * @return whether it was newer than the one before
     */
    public boolean replace(RoutingConfig config) {
        if (mConfig.isPresent() && mConfig.get().version() >= config.version()) {
            return false;
        }
        Map<String, List<Route>> byHost = new HashMap<>();
        for (Route route : config.routes()) {
            byHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
        }
        for (List<Route> routes : byHost.values()) {
            routes.sort(Comparator.comparingInt((Route r) -> r.pathPrefix().length()).reversed());
        }
        mConfig = Optional.of(config);
        mByHost = byHost;
        return true;
    }

    /** Returns the configuration in force. */
    public Optional<RoutingConfig> config() {
        return mConfig;
    }

    /**
     * Finds the route with the longest prefix.
     *
     * @param host host name in lower case, without a port
     * @param path path without its query
     */
    public Optional<Route> find(String host, String path) {
        for (Route route : mByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Takes a data centre out of service or back into it; returns whether that is a change. */
    public boolean setEvacuated(DataCentreId dataCentre, boolean evacuated) {
        return evacuated ? mEvacuated.add(dataCentre) : mEvacuated.remove(dataCentre);
    }

    /** Returns the data centres that get no new work. */
    public Set<DataCentreId> evacuated() {
        return mEvacuated;
    }
}
