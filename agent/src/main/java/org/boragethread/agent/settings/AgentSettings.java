package org.boragethread.agent.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import org.boragethread.core.admission.QueueOrder;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;
import org.boragethread.process.settings.SettingsReader;
import org.boragethread.process.settings.SettingsSection;
import org.boragethread.wire.frame.SharedKey;

/**
 * Settings of an agent.
 *
 * @param upstreamId name of the upstream
 * @param group group of the upstream
 * @param dataCentre data centre of the upstream
 * @param listen address on which the agent accepts connections of entries
 * @param monitorListen address of the HTTP endpoints for health and metrics
 * @param sharedKey secret shared with the entries
 * @param grace how long running calls may continue after a stop signal
 * @param upstream address of the upstream
 * @param connectTimeout time after which a connection attempt to the upstream fails
 * @param limit how the number of calls in flight is limited
 * @param maxQueue maximum number of queued calls
 * @param order order in which queued calls are admitted
 * @param breaker whether a circuit breaker precedes the admission controller
 */
public record AgentSettings(
        UpstreamId upstreamId,
        GroupId group,
        DataCentreId dataCentre,
        InetSocketAddress listen,
        InetSocketAddress monitorListen,
        SharedKey sharedKey,
        Duration grace,
        InetSocketAddress upstream,
        Duration connectTimeout,
        LimitKind limit,
        int maxQueue,
        QueueOrder order,
        boolean breaker) {

    private static final Duration HOUR = Duration.ofHours(1);
    private static final int DEFAULT_QUEUE = 128;
    private static final int MAX_QUEUE = 10_000;

    /** Reads the settings and records problems in the reader. */
    public static AgentSettings read(SettingsReader reader) {
        SettingsSection agent = reader.section("agent");
        SettingsSection upstream = reader.section("upstream");
        SettingsSection admission = reader.section("gate");
        AgentSettings settings =
                new AgentSettings(
                        upstream.value("id", UpstreamId::new, new UpstreamId("unset")),
                        upstream.value("group", GroupId::new, new GroupId("unset")),
                        agent.value("data_centre", DataCentreId::new, new DataCentreId("unset")),
                        agent.address("listen"),
                        agent.address("monitor_listen"),
                        agent.value("shared_key", SharedKey::new, placeholderKey()),
                        agent.millis("grace_ms", Duration.ofSeconds(30), Duration.ZERO, HOUR),
                        upstream.address("address"),
                        upstream.millis(
                                "connect_timeout_ms",
                                Duration.ofSeconds(1),
                                Duration.ofMillis(10),
                                Duration.ofMinutes(1)),
                        admission.enumConstant("limit", LimitKind.class, LimitKind.ADAPTIVE),
                        admission.integer("queue", DEFAULT_QUEUE, 0, MAX_QUEUE),
                        admission.enumConstant("order", QueueOrder.class, QueueOrder.FAIR),
                        admission.bool("breaker", true));
        agent.reportUnknownKeys();
        upstream.reportUnknownKeys();
        admission.reportUnknownKeys();
        return settings;
    }

    private static SharedKey placeholderKey() {
        return new SharedKey("0".repeat(SharedKey.MIN_LENGTH));
    }

    /** Ways to limit the calls in flight. */
    public enum LimitKind {
        /**
         * Starts at the capacity of a cold upstream and adapts to its observed latency and load.
         */
        ADAPTIVE,
        /** Always the maximum of the configuration of the group. */
        FIXED
    }
}
