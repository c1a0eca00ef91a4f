package org.boragethread.entry.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.boragethread.core.upstream.ColdRateShare.ColdRateBound;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.process.settings.SettingsReader;
import org.boragethread.process.settings.SettingsSection;

/**
 * Settings of a gateway.
 *
 * @param name name of the process, used in logs
 * @param dataCentre data centre of the process
 * @param regions region of each data centre
 * @param listen listen address for callers
 * @param readinessListen listen address for the load balancer's readiness checks
 * @param metricsListen additional listen address for monitoring
 * @param peerListen listen address for other entries
 * @param capacity computing capacity of the VM, in hundredths of a core
 * @param store address of the platform's store
 * @param storePartitions number of partitions of each topic in the store
 * @param leaveTime time after which a leaving upstream must get no new work
 * @param revokeTime time after which a revoked API key must be refused by every entry
 * @param stableWindow time without disturbance after which every entry must know of a crash
 * @param blockTime time for which a part of prompts that crashes upstreams is blocked at first
 * @param gracePeriod time from the stop signal until the process is killed
 * @param retryBound bound on retries, shared by all entries
 * @param coldRateBound bound on calls to a cold upstream, shared by all entries
 * @param scheduling how the entries share upstreams
 * @param rollouts bounds of roll-outs; empty if the deployment has none
 */
public record GatewaySettings(
        String name,
        DataCentreId dataCentre,
        Map<DataCentreId, String> regions,
        InetSocketAddress listen,
        InetSocketAddress readinessListen,
        Optional<InetSocketAddress> metricsListen,
        InetSocketAddress peerListen,
        int capacity,
        InetSocketAddress store,
        int storePartitions,
        Duration leaveTime,
        Duration revokeTime,
        Duration stableWindow,
        Duration blockTime,
        Duration gracePeriod,
        RetryBound retryBound,
        ColdRateBound coldRateBound,
        SchedulingSettings scheduling,
        Optional<RolloutSettings> rollouts) {

    private static final Duration MAX_DURATION = Duration.ofHours(1);
    private static final Duration MIN_DURATION = Duration.ofMillis(100);

    private static final int DEFAULT_STORE_PARTITIONS = 12;
    private static final int MAX_STORE_PARTITIONS = 10_000;
    private static final double MAX_SLACK = 1e6;
    private static final double MAX_CORES = 1024;

    /** Interval between readings of upstream announcements, as a fraction of the leave time. */
    private static final double UPSTREAM_READ_FRACTION = 0.35;

    /** Intervals after which a reading is overdue, with the time that it takes. */
    private static final double OVERDUE_INTERVALS = 1.25;

    /**
     * Bound on the retries of calls to one upstream group, over all entries.
     *
     * @param ratio retries allowed for each first attempt
     * @param slack additional retries allowed in each window
     * @param window time over which calls are counted
     */
    public record RetryBound(double ratio, double slack, Duration window) {}

    /** Returns the time between two readings of the announcements of upstreams. */
    Duration upstreamReadInterval() {
        return fraction(leaveTime, UPSTREAM_READ_FRACTION);
    }

    /** Returns the time after which announcements that were not read again are outdated. */
    Duration upstreamReadTimeout() {
        return fraction(leaveTime, UPSTREAM_READ_FRACTION * OVERDUE_INTERVALS);
    }

    private static Duration fraction(Duration total, double factor) {
        return Duration.ofMillis((long) (total.toMillis() * factor));
    }

    /** Reads the settings; problems are recorded in the reader. */
    public static GatewaySettings read(SettingsReader reader) {
        SettingsSection gateway = reader.section("gateway");
        SettingsSection bounds = reader.section("bounds");
        SettingsSection shares = reader.section("shares");
        SettingsSection quarantine = reader.section("quarantine");
        GatewaySettings settings =
                new GatewaySettings(
                        gateway.string("name"),
                        gateway.value("data_centre", DataCentreId::new, new DataCentreId("unset")),
                        regions(reader.section("data_centres")),
                        gateway.address("listen"),
                        gateway.address("readiness_listen"),
                        gateway.optionalAddress("metrics_listen"),
                        gateway.address("peer_listen"),
                        capacity(reader.section("vm")),
                        gateway.address("store"),
                        gateway.integer(
                                "store_partitions",
                                DEFAULT_STORE_PARTITIONS,
                                1,
                                MAX_STORE_PARTITIONS),
                        millis(bounds, "leave_ms", 2000),
                        millis(bounds, "revoke_ms", 5000),
                        millis(bounds, "stable_ms", 3000),
                        seconds(quarantine, "block_s", 600),
                        seconds(bounds, "grace_s", 8),
                        new RetryBound(
                                shares.number("retry_ratio", 0.2, 0, 1),
                                shares.number("retry_slack", 10, 0, MAX_SLACK),
                                seconds(shares, "retry_window_s", 10)),
                        new ColdRateBound(
                                shares.number("cold_overshoot", 1, 0, MAX_SLACK),
                                shares.number("cold_slack", 0, 0, MAX_SLACK)),
                        SchedulingSettings.read(reader.section("scheduling")),
                        RolloutSettings.read(reader.section("rollouts")));
        gateway.reportUnknownKeys();
        bounds.reportUnknownKeys();
        shares.reportUnknownKeys();
        quarantine.reportUnknownKeys();
        return settings;
    }

    /** Returns the address at which other entries reach this one, as IP:port. */
    public String peerAddress() {
        return peerListen.getAddress().getHostAddress() + ":" + peerListen.getPort();
    }

    private static int capacity(SettingsSection vm) {
        double share = vm.number("cpu_share", 1, 0, MAX_CORES);
        double cores = vm.number("cores", 1, 0, MAX_CORES);
        vm.reportUnknownKeys();
        return (int) Math.round(100 * share * cores);
    }

    private static Map<DataCentreId, String> regions(SettingsSection section) {
        Map<DataCentreId, String> regions = new HashMap<>();
        section.strings().forEach((key, value) -> regions.put(new DataCentreId(key), value));
        return regions;
    }

    private static Duration millis(SettingsSection section, String key, int defaultMillis) {
        return section.millis(key, Duration.ofMillis(defaultMillis), MIN_DURATION, MAX_DURATION);
    }

    private static Duration seconds(SettingsSection section, String key, double defaultSeconds) {
        double value = section.number(key, defaultSeconds, 0, MAX_DURATION.toSeconds());
        return Duration.ofMillis((long) (value * 1000));
    }
}
