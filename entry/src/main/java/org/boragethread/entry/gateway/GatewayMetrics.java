package org.boragethread.entry.gateway;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.boragethread.entry.placement.PlacementMetrics;
import org.boragethread.model.outcome.RefusalReason;

/** Prometheus counters and latency histograms of a gateway. */
final class GatewayMetrics implements PlacementMetrics {

    private static final Duration[] LATENCY_BUCKETS = {
        Duration.ofMillis(50),
        Duration.ofMillis(100),
        Duration.ofMillis(200),
        Duration.ofMillis(500),
        Duration.ofSeconds(1),
        Duration.ofSeconds(2),
        Duration.ofSeconds(5),
        Duration.ofSeconds(10),
    };

    private final PrometheusMeterRegistry mRegistry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<String, Counter> mCounters = new HashMap<>();
    private final Map<String, Timer> mTimers = new HashMap<>();

    void onRefused(RefusalReason reason) {
        increment("boragethread.gateway.refusals", "reason", reason.label());
    }

    void onResponse(int status, Duration time) {
        String outcome = status / 100 + "xx";
        increment("boragethread.gateway.answers", "status", outcome);
        recordTime("boragethread.gateway.request", "status", outcome, time);
    }

    void onRetry(String reason) {
        increment("boragethread.gateway.retries", "reason", reason);
    }

    /** Counts decisions at silent upstreams and the ends of second attempts beside them. */
    void onStall(String outcome) {
        increment("boragethread.gateway.stalls", "outcome", outcome);
    }

    /** Counts waits for a software version that was uncertain, by how they ended. */
    void onVersionWait(String outcome) {
        increment("boragethread.gateway.version.waits", "outcome", outcome);
    }

    void onBrokenConnection(String reason) {
        increment("boragethread.gateway.broken", "reason", reason);
    }

    /** Counts callbacks that threw, by what they acted for. */
    void onCallbackFailed(String owner) {
        increment("boragethread.gateway.callback.failures", "owner", owner);
    }

    /** Counts records of the store that cannot be used, by the event that is logged for them. */
    void onUnusableRecord(String event) {
        increment("boragethread.gateway.unusable.records", "event", event);
    }

    void onStoreRestored() {
        increment("boragethread.gateway.store.eras", "change", "restored");
    }

    void onUpstreamSignal(String signal) {
        increment("boragethread.gateway.upstream.signals", "signal", signal);
    }

    void onUpstreamCrash() {
        increment("boragethread.gateway.upstream.signals", "signal", "crashed");
    }

    void onHeldBack() {
        increment("boragethread.gateway.held.back", "cause", "upstream-limit-or-pause");
    }

    /** Counts stages that this entry delayed or rejected as the coordinator of their group. */
    void onStageDelayed(String outcome) {
        increment("boragethread.gateway.stage.delays", "outcome", outcome);
    }

    void onPartBlocked() {
        increment("boragethread.gateway.quarantine", "change", "blocked");
    }

    /** Counts streams that callers take up, and origins that other entries were not told. */
    void onStreamOrigin(String outcome) {
        increment("boragethread.gateway.stream.origins", "outcome", outcome);
    }

    void onAttempt(String group, Duration time) {
        recordTime("boragethread.gateway.attempt", "group", group, time);
    }

    void onBatch(String group, int pieces, long millis, boolean successful) {
        recordTime("boragethread.gateway.batch", "group", group, Duration.ofMillis(millis));
        counter("boragethread.gateway.pieces", "group", group).increment(pieces);
        if (!successful) {
            increment("boragethread.gateway.batch.failures", "group", group);
        }
    }

    @Override
    public void onPlacement(String decidedBy, Duration waited) {
        increment("boragethread.gateway.placements", "decided.by", decidedBy);
        recordTime("boragethread.gateway.placement.wait", "decided.by", decidedBy, waited);
    }

    @Override
    public void onPlacementRefused(String reason) {
        increment("boragethread.gateway.placement.refusals", "reason", reason);
    }

    @Override
    public void onPlacementRejected() {
        increment("boragethread.gateway.placement.rejections", "cause", "not-usable");
    }

    @Override
    public void onPlacementCoordinator() {
        increment("boragethread.gateway.placement.coordinators", "change", "changed");
    }

    void gauge(String name, Supplier<Number> value) {
        mRegistry.gauge("boragethread.gateway." + name, this, metrics -> value.get().doubleValue());
    }

    MeterRegistry registry() {
        return mRegistry;
    }

    String scrape() {
        return mRegistry.scrape();
    }

    private void increment(String name, String tag, String value) {
        counter(name, tag, value).increment();
    }

    private Counter counter(String name, String tag, String value) {
        return mCounters.computeIfAbsent(
                name + '/' + value, key -> mRegistry.counter(name, tag, value));
    }

    private void recordTime(String name, String tag, String value, Duration time) {
        mTimers.computeIfAbsent(
                        name + '/' + value,
                        key ->
                                Timer.builder(name)
                                        .tag(tag, value)
                                        .serviceLevelObjectives(LATENCY_BUCKETS)
                                        .register(mRegistry))
                .record(time);
    }
}
