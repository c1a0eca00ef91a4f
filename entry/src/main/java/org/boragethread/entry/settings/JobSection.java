package org.boragethread.entry.settings;

import java.time.Duration;
import org.boragethread.core.job.JobSettings;
import org.boragethread.process.settings.SettingsReader;
import org.boragethread.process.settings.SettingsSection;

/** Reads the settings section {@code jobs}. */
final class JobSection {

    private static final int DEFAULT_RUNNING = 4;
    private static final int MAX_RUNNING = 1000;
    private static final Duration HOUR = Duration.ofHours(1);

    private JobSection() {}

    /** Reads the section; problems are recorded in the reader. */
    static JobSettings read(SettingsReader reader) {
        SettingsSection section = reader.section("jobs");
        JobSettings settings =
                JobSettings.builder()
                        .lease(
                                section.millis(
                                        "lease_ms",
                                        Duration.ofSeconds(15),
                                        Duration.ofMillis(500),
                                        HOUR))
                        .logRetention(
                                section.millis(
                                        "log_retention_ms",
                                        Duration.ofHours(24),
                                        Duration.ofHours(2),
                                        Duration.ofDays(14)))
                        .maxRunning(section.integer("max_running", DEFAULT_RUNNING, 1, MAX_RUNNING))
                        .build();
        section.reportUnknownKeys();
        return settings;
    }
}
