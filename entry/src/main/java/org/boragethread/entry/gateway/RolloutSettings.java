package org.boragethread.entry.gateway;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.process.settings.SettingsSection;

/**
 * Bounds of roll-outs, over all entries.
 *
 * @param trialShare greatest share of a group's requests that a version on trial may get
 * @param trialSlack requests that it may get beyond that share
 * @param rollbackTime time in which a bad version must be out of use everywhere
 */
public record RolloutSettings(double trialShare, int trialSlack, Duration rollbackTime) {

    private static final Duration MIN_ROLLBACK_TIME = Duration.ofSeconds(2);
    private static final Duration MAX_ROLLBACK_TIME = Duration.ofHours(1);
    private static final Duration DEFAULT_ROLLBACK_TIME = Duration.ofSeconds(5);
    private static final int MAX_SLACK = 1_000_000;

    /** Reads the settings; empty if the deployment has no roll-outs. */
    static Optional<RolloutSettings> read(SettingsSection section) {
        double share = section.number("trial_share", 0, 0, 1);
        int slack = section.integer("trial_slack", 0, 0, MAX_SLACK);
        Duration rollbackTime =
                section.millis(
                        "rollback_ms", DEFAULT_ROLLBACK_TIME, MIN_ROLLBACK_TIME, MAX_ROLLBACK_TIME);
        section.reportUnknownKeys();
        return share > 0
                ? Optional.of(new RolloutSettings(share, slack, rollbackTime))
                : Optional.empty();
    }
}
