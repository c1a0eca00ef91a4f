package org.boragethread.core.configcheck;

import java.util.ArrayList;
import java.util.List;
import org.boragethread.model.routing.Route;
import org.boragethread.model.routing.RoutingConfig;
import org.boragethread.model.routing.WeightedGroup;

/** Finds groups that get none of the requests of a route. */
final class WeightRule implements ConfigRule {

    private static final int POINTS = 100;

    @Override
    public List<Finding> check(RoutingConfig config) {
        List<Finding> findings = new ArrayList<>();
        for (int i = 0; i < config.routes().size(); i++) {
            Route route = config.routes().get(i);
            for (int j = 0; j < route.groups().size(); j++) {
                if (isUnused(route, j)) {
                    findings.add(finding(route, i, j));
                }
            }
        }
        return findings;
    }

    /** Returns whether no random number chooses a group that has no positive weight. */
    private static boolean isUnused(Route route, int index) {
        WeightedGroup group = route.groups().get(index);
        if (group.weight() > 0) {
            return false;
        }
        for (int i = 0; i < POINTS; i++) {
            // The route keeps the objects; equal groups may occur twice.
            if (route.groupAt(i / (double) POINTS) == group) {
                return false;
            }
        }
        return true;
    }

    private static Finding finding(Route route, int index, int target) {
        WeightedGroup group = route.groups().get(target);
        return Finding.unused(
                "no-weight",
                Place.route(index).at(Field.WEIGHTED_GROUPS, target).at(Field.WEIGHT),
                "group %s has weight %s and gets no request of route %s"
                        .formatted(group.group(), group.weight(), route.label()),
                "remove it from the route, or give it a weight above 0");
    }
}
