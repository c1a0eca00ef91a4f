package org.boragethread.core.configcheck;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.boragethread.model.routing.Route;
import org.boragethread.model.routing.RoutedGroup;
import org.boragethread.model.routing.RoutingConfig;

/** A rule that a routing configuration is checked by. */
interface ConfigRule {

    /** Returns the violations. */
    List<Finding> check(RoutingConfig config);

    /** A rule for each route. */
    interface RouteRule {
        Optional<Finding> check(RoutingConfig config, Route route, int index);
    }

    /** A rule for each stage of each route. */
    interface StageRule {
        Optional<Finding> check(RoutingConfig config, int route, int stage);
    }

    /** A rule for each group. */
    interface GroupRule {
        Optional<Finding> check(RoutingConfig config, RoutedGroup group);
    }

    static ConfigRule ofRoutes(RouteRule rule) {
        return config -> {
            List<Finding> findings = new ArrayList<>();
            for (int i = 0; i < config.routes().size(); i++) {
                rule.check(config, config.routes().get(i), i).ifPresent(findings::add);
            }
            return findings;
        };
    }

    static ConfigRule ofStages(StageRule rule) {
        return config -> {
            List<Finding> findings = new ArrayList<>();
            for (int i = 0; i < config.routes().size(); i++) {
                for (int j = 0; j < config.routes().get(i).stages().size(); j++) {
                    rule.check(config, i, j).ifPresent(findings::add);
                }
            }
            return findings;
        };
    }

    static ConfigRule ofGroups(GroupRule rule) {
        return config ->
                config.groups().values().stream()
                        .sorted(Comparator.comparing(RoutedGroup::id))
                        .flatMap(group -> rule.check(config, group).stream())
                        .toList();
    }
}
