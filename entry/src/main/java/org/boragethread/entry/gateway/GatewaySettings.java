package org.boragethread.entry.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.boragethread.core.upstream.ColdRateShare;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.process.settings.SettingsReader;
import org.boragethread.process.settings.SettingsSection;

/**
 * Settings of an entry that serves routes.
 *
 * @param name name of the process, for logs
 * @param dataCentre data centre of the process
 * @param regions region of each data centre
 * @param listen address for callers
 * @param readinessListen address for the balancer's questions
 * @param metricsListen address for monitoring
 * @param peerListen address for other entries
 * @param store address of the platform's store
 * @param leaveTime time in which a leaving upstream must get no more work
 * @param revokeTime time in which a withdrawn key must be refused everywhere
 * @param grace time from the stop signal until the process is killed
 * @param retries bound on repeated calls that all entries share
 * @param coldShare this process's part of what cold upstreams bear
 */
public record GatewaySettings(
        String name,
        DataCentreId dataCentre,
        Map<DataCentreId, String> regions,
        InetSocketAddress listen,
        InetSocketAddress readinessListen,
        Optional<InetSocketAddress> metricsListen,
        InetSocketAddress peerListen,
        InetSocketAddress store,
        Duration leaveTime,
        Duration revokeTime,
        Duration grace,
        RetryBound retries,
        ColdRateShare coldShare) {

    private static final Duration HOUR = Duration.ofHours(1);
    private static final Duration SHORTEST = Duration.ofMillis(100);

    /** Entries that share a bound unless the settings say otherwise: twice those of today. */
    private static final int DEFAULT_ENTRIES = 10;

    private static final int MAX_ENTRIES = 10_000;
    private static final double MAX_SLACK = 1e6;

    /**
     * Bound on repeated calls to one upstream group, over all entries.
     *
     * @param ratio repeated calls allowed for each first call
     * @param slack repeated calls allowed in each window besides
     * @param window time over which calls are counted
     */
    public record RetryBound(double ratio, double slack, Duration window) {}

    /** Reads settings; problems are recorded in the reader. */
    public static GatewaySettings read(SettingsReader reader) {
        SettingsSection gateway = reader.section("gateway");
        SettingsSection bounds = reader.section("bounds");
        SettingsSection shares = reader.section("shares");
        int entries = shares.integer("entries", DEFAULT_ENTRIES, 1, MAX_ENTRIES);
        GatewaySettings settings =
                new GatewaySettings(
                        gateway.text("name"),
                        gateway.value("data_centre", DataCentreId::new, new DataCentreId("unset")),
                        regions(reader.section("data_centres")),
                        gateway.address("listen"),
                        gateway.address("readiness_listen"),
                        gateway.optionalAddress("metrics_listen"),
                        gateway.address("peer_listen"),
                        gateway.address("store"),
                        millis(bounds, "leave_ms", 2000),
                        millis(bounds, "revoke_ms", 5000),
                        seconds(bounds, "grace_s", 8),
                        new RetryBound(
                                shares.number("retry_ratio", 0.2, 0, 1),
                                shares.number("retry_slack", 10, 0, MAX_SLACK),
                                seconds(shares, "retry_window_s", 10)),
                        new ColdRateShare(
                                shares.number("cold_overshoot", 1, 0, MAX_SLACK),
                                shares.number("cold_slack", 0, 0, MAX_SLACK),
                                entries));
        gateway.finish();
        bounds.finish();
        shares.finish();
        return settings;
    }

    /** Returns this process's part of the fixed number of repeated calls in each window. */
    public double retrySlackShare() {
        return Math.floor(retries.slack() / coldShare.entries());
    }

    /** Returns the address for other entries as IP:port. */
    public String peerAddress() {
        return peerListen.getAddress().getHostAddress() + ":" + peerListen.getPort();
    }

    private static Map<DataCentreId, String> regions(SettingsSection section) {
        Map<DataCentreId, String> regions = new HashMap<>();
        section.texts().forEach((key, value) -> regions.put(new DataCentreId(key), value));
        return regions;
    }

    private static Duration millis(SettingsSection section, String key, int defaultMillis) {
        return section.millis(key, Duration.ofMillis(defaultMillis), SHORTEST, HOUR);
    }

    private static Duration seconds(SettingsSection section, String key, double defaultSeconds) {
        double value = section.number(key, defaultSeconds, 0, HOUR.toSeconds());
        return Duration.ofMillis((long) (value * 1000));
    }
}
