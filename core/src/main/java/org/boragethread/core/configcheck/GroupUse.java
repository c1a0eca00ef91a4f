package org.boragethread.core.configcheck;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.boragethread.model.routing.Route;
import org.boragethread.model.routing.RoutedGroup;
import org.boragethread.model.routing.RoutingConfig;
import org.boragethread.model.upstream.GroupId;

/** Finds groups that nothing uses, and uses of groups that cannot serve them. */
final class GroupUse {

    private static final String UNKNOWN_GROUP = "unknown-group";

    private GroupUse() {}

    static List<Finding> findUnusedGroups(RoutingConfig config) {
        Set<GroupId> unused = new TreeSet<>(config.groups().keySet());
        for (Route route : config.routes()) {
            route.groups().forEach(target -> unused.remove(target.group()));
            route.stages().forEach(stage -> unused.remove(stage.group()));
        }
        return unused.stream()
                .map(
                        group ->
                                Finding.unused(
                                        "unused-group",
                                        Place.group(group),
                                        "no route or stage uses service " + group,
                                        "remove the service, or name it in a route or stage"))
                .toList();
    }

    static Optional<Finding> findUnknownGroup(RoutingConfig config, Route route, int index) {
        for (int i = 0; i < route.groups().size(); i++) {
            GroupId group = route.groups().get(i).group();
            if (!config.groups().containsKey(group)) {
                return Optional.of(
                        Finding.unused(
                                UNKNOWN_GROUP,
                                Place.route(index).at(Field.WEIGHTED_GROUPS, i).at(Field.GROUP),
                                "service %s does not exist: its requests get 503 no-upstream"
                                        .formatted(group),
                                "add the service, or correct its name"));
            }
        }
        return Optional.empty();
    }

    static Optional<Finding> findUnusableStageGroup(RoutingConfig config, int route, int stage) {
        GroupId id = config.routes().get(route).stages().get(stage).group();
        Place place = Place.stage(route, stage).at(Field.GROUP);
        RoutedGroup group = config.groups().get(id);
        if (group == null) {
            return Optional.of(
                    Finding.unused(
                            UNKNOWN_GROUP,
                            place,
                            "service %s does not exist: requests with pieces of the stage fail"
                                    .formatted(id),
                            "add the service, or correct its name"));
        }
        if (group.batch().isEmpty()) {
            return Optional.of(
                    Finding.unused(
                            "no-batch-limits",
                            place,
                            "service %s has no pieces: requests with pieces of the stage fail"
                                    .formatted(id),
                            "add the field pieces to the service"));
        }
        return Optional.empty();
    }
}
