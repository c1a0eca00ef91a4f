package org.boragethread.entry.settings;

import java.time.Duration;
import org.boragethread.core.claim.ClaimSettings;
import org.boragethread.process.settings.SettingsReader;
import org.boragethread.process.settings.SettingsSection;

/** Reads the settings section {@code claims}. */
final class ClaimSection {

    private static final int DEFAULT_PARTITIONS = 8;
    private static final int MAX_PARTITIONS = 256;
    private static final Duration MINUTE = Duration.ofMinutes(1);
    private static final Duration WEEK = Duration.ofDays(7);

    private ClaimSection() {}

    /** Reads the section; problems are recorded in the reader. */
    static ClaimSettings read(SettingsReader reader) {
        SettingsSection section = reader.section("claims");
        Duration minDelay = Duration.ofMillis(10);
        ClaimSettings settings =
                ClaimSettings.builder()
                        .partitions(
                                section.integer(
                                        "partitions", DEFAULT_PARTITIONS, 1, MAX_PARTITIONS))
                        .retention(
                                section.millis("retention_ms", Duration.ofHours(12), MINUTE, WEEK))
                        .appendTimeout(
                                section.millis(
                                        "append_timeout_ms",
                                        Duration.ofSeconds(2),
                                        minDelay,
                                        MINUTE))
                        .inquiryDelay(
                                section.millis(
                                        "inquiry_delay_ms",
                                        Duration.ofMillis(500),
                                        minDelay,
                                        MINUTE))
                        .fenceAfter(
                                section.millis(
                                        "fence_after_ms", Duration.ofSeconds(10), minDelay, MINUTE))
                        .build();
        section.reportUnknownKeys();
        return settings;
    }
}
