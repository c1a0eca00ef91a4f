package org.boragethread.core.configcheck;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import org.boragethread.core.configcheck.ConfigDifference.Kind;
import org.boragethread.core.routing.RoutingTable;
import org.boragethread.model.routing.KeyHolder;
import org.boragethread.model.routing.Route;
import org.boragethread.model.routing.RouteStage;
import org.boragethread.model.routing.RoutedGroup;
import org.boragethread.model.routing.RoutingConfig;
import org.boragethread.model.routing.WeightedGroup;

/** Compares a routing configuration with the one in force. */
public final class ConfigComparison {

    private final RoutingConfig mBefore;
    private final RoutingConfig mAfter;
    private final List<ConfigDifference> mDifferences = new ArrayList<>();

    private ConfigComparison(RoutingConfig before, RoutingConfig after) {
        mBefore = before;
        mAfter = after;
    }

    /** Returns the differences of a configuration from the one in force. */
    public static List<ConfigDifference> compare(RoutingConfig inForce, RoutingConfig checked) {
        ConfigComparison comparison = new ConfigComparison(inForce, checked);
        comparison.compareAll();
        return comparison.mDifferences;
    }

    /** Finds a configuration that gateways ignore because it is not newer than that in force. */
    public static Optional<Finding> findOutdated(RoutingConfig inForce, RoutingConfig checked) {
        RoutingTable table = new RoutingTable();
        table.replace(inForce);
        if (table.replace(checked) || compare(inForce, checked).isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new Finding(
                        FindingKind.ERROR,
                        "older-version",
                        Place.of(Field.VERSION),
                        "version %d is not newer than version %d in force: gateways ignore it"
                                .formatted(checked.version(), inForce.version()),
                        "use version %d or a later one".formatted(inForce.version() + 1)));
    }

    private void compareAll() {
        compareObject(
                "configuration",
                Optional.of(mBefore),
                Optional.of(mAfter),
                Map.of(Place.of(Field.VERSION), RoutingConfig::version));
        compareMaps("route ", ComparedFields.ROUTE, config -> byLabel(config));
        compareMaps(
                "group ",
                ComparedFields.GROUP,
                config -> {
                    Map<String, RoutedGroup> groups = new TreeMap<>();
                    config.groups().forEach((id, group) -> groups.put(id.value(), group));
                    return groups;
                });
        compareObject(
                "limits",
                Optional.of(mBefore.bounds()),
                Optional.of(mAfter.bounds()),
                ComparedFields.BOUNDS);
        compareKeys();
    }

    /** Returns routes by their labels; further ones with the same label are numbered. */
    private static Map<String, Route> byLabel(RoutingConfig config) {
        Map<String, Route> routes = new TreeMap<>();
        Map<String, Integer> counts = new HashMap<>();
        config.routes()
                .forEach(
                        route -> {
                            int number = counts.merge(route.label(), 1, Integer::sum);
                            String suffix = number == 1 ? "" : " (" + number + ")";
                            routes.put(route.label() + suffix, route);
                        });
        return routes;
    }

    private void compareKeys() {
        if (mBefore.keys().isPresent() != mAfter.keys().isPresent()) {
            mDifferences.add(
                    new ConfigDifference(
                            Kind.CHANGED,
                            "API keys",
                            Optional.of(Place.of(Field.TEAMS)),
                            mBefore.keys().isPresent() ? "needed" : "not needed",
                            mAfter.keys().isPresent() ? "needed" : "not needed"));
        }
        Map<String, KeyHolder> before = mBefore.keys().orElse(Map.of());
        Map<String, KeyHolder> after = mAfter.keys().orElse(Map.of());
        for (String key : union(before, after)) {
            KeyHolder holder = after.getOrDefault(key, before.get(key));
            compareObject(
                    "key %s of team %s".formatted(KeyMask.mask(key), holder.team()),
                    Optional.ofNullable(before.get(key)),
                    Optional.ofNullable(after.get(key)),
                    ComparedFields.KEY_HOLDER);
        }
    }

    private <T> void compareMaps(
            String kind,
            Map<Place, Function<T, Object>> fields,
            Function<RoutingConfig, Map<String, T>> objects) {
        Map<String, T> before = objects.apply(mBefore);
        Map<String, T> after = objects.apply(mAfter);
        for (String name : union(before, after)) {
            compareObject(
                    kind + name,
                    Optional.ofNullable(before.get(name)),
                    Optional.ofNullable(after.get(name)),
                    fields);
        }
    }

    private static Set<String> union(Map<String, ?> before, Map<String, ?> after) {
        Set<String> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        return names;
    }

    private <T> void compareObject(
            String name,
            Optional<T> before,
            Optional<T> after,
            Map<Place, Function<T, Object>> fields) {
        if (before.isEmpty() || after.isEmpty()) {
            Kind kind = before.isEmpty() ? Kind.ADDED : Kind.REMOVED;
            mDifferences.add(new ConfigDifference(kind, name, Optional.empty(), "", ""));
            return;
        }
        fields.forEach(
                (place, reader) -> {
                    Object earlier = reader.apply(before.get());
                    Object later = reader.apply(after.get());
                    if (!Objects.equals(earlier, later)) {
                        mDifferences.add(
                                new ConfigDifference(
                                        Kind.CHANGED,
                                        name,
                                        Optional.of(place),
                                        describe(earlier),
                                        describe(later)));
                    }
                });
    }

    private static String describe(Object value) {
        if (value instanceof Optional<?> optional) {
            return optional.map(ConfigComparison::describe).orElse("none");
        }
        if (value instanceof OptionalInt optional) {
            return optional.isPresent() ? String.valueOf(optional.getAsInt()) : "none";
        }
        if (value instanceof Duration duration) {
            return duration.toNanos() / 1e6 + " ms";
        }
        if (value instanceof Set<?> set) {
            return set.stream().map(ConfigComparison::describe).sorted().toList().toString();
        }
        if (value instanceof List<?> list) {
            return list.stream().map(ConfigComparison::describe).toList().toString();
        }
        if (value instanceof Enum<?> constant) {
            return constant.name().toLowerCase(Locale.ROOT);
        }
        if (value instanceof WeightedGroup group) {
            return group.group() + " " + group.weight();
        }
        if (value instanceof RouteStage stage) {
            return "%s after %s, %d bytes"
                    .formatted(stage.group(), stage.after(), stage.resultBytes());
        }
        return String.valueOf(value);
    }
}
