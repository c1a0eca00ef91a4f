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
 * @param listen address for entries
 * @param monitorListen address for health and metrics
 * @param sharedKey secret shared with the entries
 * @param grace time that running calls have to end after a stop signal
 * @param upstream address of the upstream
 * @param connectTimeout time after which a connection attempt to the upstream has failed
 * @param limit how many calls the gate lets through
 * @param queue greatest number of waiting calls
 * @param order order of waiting calls
 * @param breaker whether a circuit breaker goes before the gate
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
        int queue,
        QueueOrder order,
        boolean breaker) {

    private static final Duration HOUR = Duration.ofHours(1);
    private static final int DEFAULT_QUEUE = 128;
    private static final int MAX_QUEUE = 10_000;

    /** Reads settings; problems are recorded in the reader. */
    public static AgentSettings read(SettingsReader reader) {
        SettingsSection agent = reader.section("agent");
        SettingsSection upstream = reader.section("upstream");
        SettingsSection gate = reader.section("gate");
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
                        gate.enumConstant("limit", LimitKind.class, LimitKind.ADAPTIVE),
                        gate.integer("queue", DEFAULT_QUEUE, 0, MAX_QUEUE),
                        gate.enumConstant("order", QueueOrder.class, QueueOrder.FAIR),
                        gate.bool("breaker", true));
        agent.reportUnknownKeys();
        upstream.reportUnknownKeys();
        gate.reportUnknownKeys();
        return settings;
    }

    private static SharedKey placeholderKey() {
        return new SharedKey("0".repeat(SharedKey.MIN_LENGTH));
    }

    /** Ways to limit the calls in flight. */
    public enum LimitKind {
        /** Starts at what a cold upstream bears and follows what the upstream shows. */
        ADAPTIVE,
        /** Always the greatest number that the group's configuration allows. */
        FIXED
    }
}
