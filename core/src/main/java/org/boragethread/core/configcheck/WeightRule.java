package org.boragethread.core.configcheck;

import java.util.ArrayList;
import java.util.List;
import org.boragethread.model.routing.Route;
import org.boragethread.model.routing.RoutingConfig;
import org.boragethread.model.routing.WeightedGroup;

/** Finds groups without a share of the requests of a route. */
final class WeightRule implements ConfigRule {

    @Override
    public List<Finding> check(RoutingConfig config) {
        List<Finding> findings = new ArrayList<>();
        for (int i = 0; i < config.routes().size(); i++) {
            Route route = config.routes().get(i);
            for (int j = 0; j < route.groups().size(); j++) {
                if (route.groups().get(j).weight() <= 0) {
                    findings.add(finding(route, i, j));
                }
            }
        }
        return findings;
    }

    private static Finding finding(Route route, int index, int target) {
        WeightedGroup group = route.groups().get(target);
        return Finding.unused(
                "no-weight",
                Place.route(index).at(Field.WEIGHTED_GROUPS, target).at(Field.WEIGHT),
                "service %s has weight %s: it gets requests only if none of route %s has a weight"
                                .formatted(group.group(), group.weight(), route.label())
                        + " above 0",
                "remove it from the route, or give it a weight above 0");
    }
}
