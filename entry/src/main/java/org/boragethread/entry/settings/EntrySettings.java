package org.boragethread.entry.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import org.boragethread.core.claim.ClaimSettings;
import org.boragethread.core.job.JobSettings;
import org.boragethread.entry.http.CallerLimits;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.process.settings.SettingsReader;
import org.boragethread.process.settings.SettingsSection;
import org.boragethread.wire.frame.SharedKey;

/**
 * Settings of an entry.
 *
 * @param id name of the entry, unique in the deployment
 * @param dataCentre data centre of the entry
 * @param listen address that callers connect to
 * @param operatorListen address that operators connect to
 * @param operatorToken bearer token that operators send
 * @param sharedKey secret shared with the agents
 * @param drain time after a stop signal during which the entry still serves but reports not ready
 * @param grace time for running requests to end after the drain time
 * @param platform address of the platform's log and VM list
 * @param listInterval interval between fetches of the VM list
 * @param configRetention retention time of configuration records in the platform's log
 * @param callers limits for callers' requests
 * @param policies decision policies
 * @param claims settings of claims; must be the same for all entries
 * @param jobs settings of jobs; must be the same for all entries
 */
public record EntrySettings(
        String id,
        DataCentreId dataCentre,
        InetSocketAddress listen,
        InetSocketAddress operatorListen,
        String operatorToken,
        SharedKey sharedKey,
        Duration drain,
        Duration grace,
        InetSocketAddress platform,
        Duration listInterval,
        Duration configRetention,
        CallerLimits callers,
        PolicySettings policies,
        ClaimSettings claims,
        JobSettings jobs) {

    private static final int MIN_TOKEN_LENGTH = 16;
    private static final int DEFAULT_BODY_BYTES = 1 << 20;
    private static final int MAX_BODY_BYTES = 3 << 20;
    private static final int DEFAULT_HEADER_BYTES = 8192;
    private static final Duration HOUR = Duration.ofHours(1);
    private static final Duration DEFAULT_RETENTION = Duration.ofHours(24);
    private static final Duration MIN_RETENTION = Duration.ofMinutes(3);
    private static final Duration MAX_RETENTION = Duration.ofDays(365);

    /** Reads settings; problems are recorded in the reader. */
    public static EntrySettings read(SettingsReader reader) {
        SettingsSection entry = reader.section("entry");
        SettingsSection platform = reader.section("platform");
        SettingsSection callers = reader.section("callers");
        EntrySettings settings =
                new EntrySettings(
                        entry.string("id"),
                        entry.value("data_centre", DataCentreId::new, new DataCentreId("unset")),
                        entry.address("listen"),
                        entry.address("operator_listen"),
                        entry.value("operator_token", EntrySettings::validateToken, ""),
                        entry.value("shared_key", SharedKey::new, placeholderKey()),
                        entry.millis("drain_ms", Duration.ofSeconds(2), Duration.ZERO, HOUR),
                        entry.millis("grace_ms", Duration.ofSeconds(30), Duration.ZERO, HOUR),
                        platform.address("address"),
                        platform.millis(
                                "list_interval_ms",
                                Duration.ofSeconds(1),
                                Duration.ofMillis(50),
                                Duration.ofMinutes(1)),
                        platform.millis(
                                "config_retention_ms",
                                DEFAULT_RETENTION,
                                MIN_RETENTION,
                                MAX_RETENTION),
                        readCallers(callers),
                        PolicySettings.read(reader),
                        ClaimSection.read(reader),
                        JobSection.read(reader));
        entry.reportUnknownKeys();
        platform.reportUnknownKeys();
        callers.reportUnknownKeys();
        return settings;
    }

    private static CallerLimits readCallers(SettingsSection callers) {
        return new CallerLimits(
                callers.integer("max_body_bytes", DEFAULT_BODY_BYTES, 1, MAX_BODY_BYTES),
                callers.millis(
                        "body_timeout_ms", Duration.ofSeconds(10), Duration.ofMillis(10), HOUR),
                callers.integer("max_header_bytes", DEFAULT_HEADER_BYTES, 512, 1 << 16));
    }

    private static String validateToken(String token) {
        if (token.length() < MIN_TOKEN_LENGTH) {
            throw new IllegalArgumentException(
                    "use at least %d characters".formatted(MIN_TOKEN_LENGTH));
        }
        return token;
    }

    private static SharedKey placeholderKey() {
        return new SharedKey("0".repeat(SharedKey.MIN_LENGTH));
    }
}
