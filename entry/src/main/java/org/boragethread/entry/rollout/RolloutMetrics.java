package org.boragethread.entry.rollout;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Locale;
import java.util.function.Supplier;
import org.boragethread.core.rollout.RolloutPhase;
import org.boragethread.core.rollout.SendKind;
import org.boragethread.core.rollout.VersionSide;
import org.boragethread.model.upstream.GroupId;

/** Counters of roll-outs. */
final class RolloutMetrics {

    private static final String PREFIX = "boragethread.gateway.rollout.";
    private static final String GROUP = "group";

    private final MeterRegistry mMeters;

    RolloutMetrics(MeterRegistry meters) {
        mMeters = meters;
    }

    void onSend(GroupId group, String route, VersionSide side, SendKind kind) {
        mMeters.counter(
                        PREFIX + "sends",
                        GROUP,
                        group.value(),
                        "route",
                        route,
                        "version",
                        label(side),
                        "kind",
                        label(kind))
                .increment();
    }

    /** Counts sends that were held back, because the version that was chosen must not get them. */
    void onHeldBack(GroupId group) {
        mMeters.counter(PREFIX + "held.back", GROUP, group.value()).increment();
    }

    void onResponse(GroupId group, String route, VersionSide side, String outcome) {
        mMeters.counter(
                        PREFIX + "responses",
                        GROUP,
                        group.value(),
                        "route",
                        route,
                        "version",
                        label(side),
                        "outcome",
                        outcome)
                .increment();
    }

    /** Counts the states that this process has recorded. */
    void onDecision(GroupId group, RolloutPhase phase) {
        mMeters.counter(PREFIX + "decisions", GROUP, group.value(), "phase", label(phase))
                .increment();
    }

    void onReport(String outcome) {
        mMeters.counter(PREFIX + "reports", "outcome", outcome).increment();
    }

    /** Shows the phase of a group. */
    void showPhase(GroupId group, Supplier<Number> phase) {
        Gauge.builder(PREFIX + "phase", phase).tag(GROUP, group.value()).register(mMeters);
    }

    private static String label(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
