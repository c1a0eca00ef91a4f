package org.boragethread.core.configcheck;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.boragethread.core.configcheck.ConfigDifference.Kind;
import org.boragethread.core.routing.RoutingTable;
import org.boragethread.model.routing.KeyHolder;
import org.boragethread.model.routing.Route;
import org.boragethread.model.routing.RouteStage;
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
        if (table.replace(checked) || inForce.equals(checked)) {
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
        compareMaps("route ", ComparedFields.ROUTE, ConfigComparison::byLabel);
        compareFirstRoutes();
        compareMaps("service ", ComparedFields.GROUP, RoutingConfig::groups);
        compareObject(
                "limits",
                Optional.of(mBefore.bounds()),
                Optional.of(mAfter.bounds()),
                ComparedFields.BOUNDS);
        compareKeys();
    }

    /** Identifies a route by its label; routes with the same label are numbered from 1. */
    private record RouteKey(String label, int number) implements Comparable<RouteKey> {

        @Override
        public int compareTo(RouteKey other) {
            int order = label.compareTo(other.label);
            return order == 0 ? Integer.compare(number, other.number) : order;
        }

        @Override
        public String toString() {
            return number == 1 ? label : label + " (" + number + ")";
        }
    }

    private static Map<RouteKey, Route> byLabel(RoutingConfig config) {
        Map<RouteKey, Route> routes = new HashMap<>();
        Map<String, Integer> counts = new HashMap<>();
        for (Route route : config.routes()) {
            int number = counts.merge(route.label(), 1, Integer::sum);
            routes.put(new RouteKey(route.label(), number), route);
        }
        return routes;
    }

    /** Compares the order of routes with the same host and path prefix: only the first is used. */
    private void compareFirstRoutes() {
        Map<List<String>, List<Route>> before = byHostAndPrefix(mBefore);
        Map<List<String>, List<Route>> after = byHostAndPrefix(mAfter);
        before.forEach(
                (key, routes) -> {
                    List<Route> later = after.getOrDefault(key, List.of());
                    if (!later.isEmpty() && routes.size() + later.size() > 2) {
                        compareObject(
                                "first route of " + String.join("", key),
                                Optional.of(routes.get(0)),
                                Optional.of(later.get(0)),
                                Map.of(Place.of(Field.NAME), Route::label));
                    }
                });
    }

    private static Map<List<String>, List<Route>> byHostAndPrefix(RoutingConfig config) {
        return config.routes().stream()
                .collect(
                        Collectors.groupingBy(
                                route -> List.of(route.host(), route.pathPrefix()),
                                LinkedHashMap::new,
                                Collectors.toList()));
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
                    "key %s of tenant %s".formatted(KeyMask.mask(key), holder.team()),
                    Optional.ofNullable(before.get(key)),
                    Optional.ofNullable(after.get(key)),
                    ComparedFields.KEY_HOLDER);
        }
    }

    private <K extends Comparable<K>, T> void compareMaps(
            String kind,
            Map<Place, Function<T, Object>> fields,
            Function<RoutingConfig, Map<K, T>> objects) {
        Map<K, T> before = objects.apply(mBefore);
        Map<K, T> after = objects.apply(mAfter);
        for (K name : union(before, after)) {
            compareObject(
                    kind + name,
                    Optional.ofNullable(before.get(name)),
                    Optional.ofNullable(after.get(name)),
                    fields);
        }
    }

    private static <K extends Comparable<K>> Set<K> union(Map<K, ?> before, Map<K, ?> after) {
        Set<K> names = new TreeSet<>(before.keySet());
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
