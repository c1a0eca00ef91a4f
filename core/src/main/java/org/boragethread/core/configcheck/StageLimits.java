package org.boragethread.core.configcheck;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.boragethread.core.stage.BatchScheduler;
import org.boragethread.model.routing.BatchLimits;
import org.boragethread.model.routing.Route;
import org.boragethread.model.routing.RouteStage;
import org.boragethread.model.routing.RoutedGroup;
import org.boragethread.model.routing.RoutingConfig;

/** Finds stages that contradict the limits of their route, their group or each other. */
final class StageLimits {

    private StageLimits() {}

    /** Finds stages whose longest chain takes longer than their route, with one piece in each. */
    static Optional<Finding> findLongStages(RoutingConfig config, Route route, int index) {
        Duration longest = Duration.ZERO;
        for (Optional<Duration> end : ends(config, route)) {
            if (end.isPresent() && end.get().compareTo(longest) > 0) {
                longest = end.get();
            }
        }
        if (longest.compareTo(route.timeout()) <= 0) {
            return Optional.empty();
        }
        return Optional.of(
                Finding.contradiction(
                        "long-stages",
                        Place.route(index).at(Field.TIMEOUT),
                        "the stages take %d ms with one piece each, longer than the time-out"
                                .formatted(longest.toMillis()),
                        "use a longer time-out, or correct the times of calls"));
    }

    static Optional<Finding> findStageCycle(RoutingConfig config, Route route, int index) {
        List<Optional<Duration>> ends = ends(config, route);
        List<Integer> waiting =
                IntStream.range(0, ends.size())
                        .filter(stage -> ends.get(stage).isEmpty())
                        .boxed()
                        .toList();
        if (waiting.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                Finding.contradiction(
                        "stage-cycle",
                        Place.route(index).at(Field.STAGES),
                        "the stages %s need each other, or stages that do".formatted(waiting),
                        "remove the cycle"));
    }

    static Optional<Finding> findUnknownStage(RoutingConfig config, int route, int stage) {
        List<RouteStage> stages = config.routes().get(route).stages();
        for (int input : stages.get(stage).after()) {
            if (!exists(input, stages)) {
                return Optional.of(
                        Finding.contradiction(
                                "unknown-stage",
                                Place.stage(route, stage).at(Field.AFTER),
                                "stage %d does not exist: requests with pieces of this stage fail"
                                        .formatted(input),
                                "name stages of this route by their numbers from 0"));
            }
        }
        return Optional.empty();
    }

    private static boolean exists(int stage, List<RouteStage> stages) {
        return stage >= 0 && stage < stages.size();
    }

    /**
     * Returns when each stage ends if each has one piece and waits for no other work; empty for
     * those that need themselves. Stages that do not exist are left out.
     */
    private static List<Optional<Duration>> ends(RoutingConfig config, Route route) {
        List<RouteStage> stages = route.stages();
        List<Optional<Duration>> ends =
                new ArrayList<>(Collections.nCopies(stages.size(), Optional.empty()));
        boolean changed = true;
        while (changed) {
            changed = false;
            for (int i = 0; i < stages.size(); i++) {
                if (ends.get(i).isEmpty()) {
                    Duration own =
                            batch(config, stages.get(i))
                                    .map(limits -> limits.expectedTime(1))
                                    .orElse(Duration.ZERO);
                    ends.set(i, latest(ends, stages, i).map(start -> start.plus(own)));
                    changed |= ends.get(i).isPresent();
                }
            }
        }
        return ends;
    }

    private static Optional<Duration> latest(
            List<Optional<Duration>> ends, List<RouteStage> stages, int stage) {
        Duration latest = Duration.ZERO;
        for (int input : stages.get(stage).after()) {
            if (!exists(input, stages)) {
                continue;
            }
            if (ends.get(input).isEmpty()) {
                return Optional.empty();
            }
            Duration end = ends.get(input).get();
            latest = end.compareTo(latest) > 0 ? end : latest;
        }
        return Optional.of(latest);
    }

    static Optional<Finding> findLongFullCall(RoutingConfig config, int route, int stage) {
        Route owner = config.routes().get(route);
        Optional<BatchLimits> limits = batch(config, owner.stages().get(stage));
        if (limits.isEmpty() || limits.get().batch() <= 1) {
            return Optional.empty();
        }
        Duration time = limits.get().expectedTime(limits.get().batch());
        if (time.compareTo(owner.timeout()) <= 0) {
            return Optional.empty();
        }
        return Optional.of(
                Finding.contradiction(
                        "long-full-call",
                        Place.stage(route, stage),
                        "a call with %d pieces takes longer than the time-out of route %s"
                                .formatted(limits.get().batch(), owner.label()),
                        "use a smaller batch, or a longer time-out"));
    }

    static Optional<Finding> findLargeResults(RoutingConfig config, int route, int stage) {
        RouteStage definition = config.routes().get(route).stages().get(stage);
        Optional<BatchLimits> limits = batch(config, definition);
        if (limits.isEmpty() || definition.resultBytes() <= 0) {
            return Optional.empty();
        }
        long room = BatchScheduler.usableBytes(limits.get()) / definition.resultBytes();
        if (room >= limits.get().batch()) {
            return Optional.empty();
        }
        return Optional.of(
                Finding.contradiction(
                        "large-results",
                        Place.stage(route, stage).at(Field.STAGE_RESULT_BYTES),
                        "calls have up to %d pieces but upstreams of service %s have memory for %d"
                                        .formatted(limits.get().batch(), definition.group(), room)
                                + " results: full calls wait until an upstream holds no results",
                        "use a smaller batch, or correct bytes or the memory for results"));
    }

    /** Finds results that are dropped before a call with one piece could have used them. */
    static Optional<Finding> findShortResultTime(RoutingConfig config, int route, int stage) {
        Route owner = config.routes().get(route);
        RouteStage definition = owner.stages().get(stage);
        Optional<BatchLimits> limits = batch(config, definition);
        for (int input : definition.after()) {
            if (limits.isEmpty() || !exists(input, owner.stages())) {
                continue;
            }
            Duration kept =
                    batch(config, owner.stages().get(input))
                            .map(BatchLimits::resultTime)
                            .orElse(Duration.ZERO);
            // Zero means that the time is not known.
            if (!kept.isZero() && kept.compareTo(limits.get().expectedTime(1)) < 0) {
                return Optional.of(
                        Finding.contradiction(
                                "short-result-time",
                                Place.stage(route, stage).at(Field.AFTER),
                                "results of stage %d are dropped after %d ms, while this one runs"
                                        .formatted(input, kept.toMillis()),
                                "keep results for longer, or correct the times of calls"));
            }
        }
        return Optional.empty();
    }

    private static Optional<BatchLimits> batch(RoutingConfig config, RouteStage stage) {
        return Optional.ofNullable(config.groups().get(stage.group())).flatMap(RoutedGroup::batch);
    }
}
