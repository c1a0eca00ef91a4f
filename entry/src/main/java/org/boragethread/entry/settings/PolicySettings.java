package org.boragethread.entry.settings;

import org.boragethread.process.settings.SettingsReader;
import org.boragethread.process.settings.SettingsSection;

/**
 * Decision policies of an entry. Each policy has a baseline alternative for comparison.
 *
 * @param selection how an upstream is chosen
 * @param retry whether and when a failed attempt is retried
 * @param maxAttempts maximum number of attempts at one stage
 * @param hedge whether a slow attempt is hedged by a second one
 * @param deadline whether requests that cannot meet their deadline are refused early
 * @param teamLimits whether the rates and concurrency of teams are limited
 */
public record PolicySettings(
        Selection selection,
        Retry retry,
        int maxAttempts,
        Hedge hedge,
        Deadline deadline,
        boolean teamLimits) {

    private static final int DEFAULT_ATTEMPTS = 3;
    private static final int MAX_ATTEMPTS = 10;

    /** Reads the settings section {@code policies}; problems are recorded in the reader. */
    static PolicySettings read(SettingsReader reader) {
        SettingsSection section = reader.section("policies");
        PolicySettings settings =
                new PolicySettings(
                        section.enumConstant("selection", Selection.class, Selection.LOCALITY),
                        section.enumConstant("retry", Retry.class, Retry.SAFE),
                        section.integer("max_attempts", DEFAULT_ATTEMPTS, 1, MAX_ATTEMPTS),
                        section.enumConstant("hedge", Hedge.class, Hedge.TAIL),
                        section.enumConstant("deadline", Deadline.class, Deadline.OBSERVED),
                        section.bool("team_limits", true));
        section.reportUnknownKeys();
        return settings;
    }

    /** Policies for choosing an upstream. */
    public enum Selection {
        /**
         * Nearest data centre with free capacity, then the less loaded of two upstreams; engines
         * are chosen by cached prompt prefix.
         */
        LOCALITY,
        /** Baseline: round robin. */
        ROUND_ROBIN
    }

    /** Policies for retrying a failed attempt. */
    public enum Retry {
        /** Retries where safe, after a back-off, within a retry budget per group. */
        SAFE,
        /** Baseline: retries where safe, without a delay. */
        AT_ONCE,
        /** Baseline: no further attempt. */
        NEVER
    }

    /** Policies for hedging a slow attempt. */
    public enum Hedge {
        /**
         * Starts a second attempt after the group's 95th percentile latency, within the retry
         * budget.
         */
        TAIL,
        /** Baseline: no further attempt. */
        NEVER
    }

    /** Policies for deadlines. */
    public enum Deadline {
        /**
         * Refuses requests early if observed stage times show that they cannot meet their deadline.
         */
        OBSERVED,
        /** Baseline: refuses no request before its deadline has passed. */
        WHOLE
    }
}
