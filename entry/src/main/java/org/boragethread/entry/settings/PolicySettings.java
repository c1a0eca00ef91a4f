package org.boragethread.entry.settings;

import org.boragethread.process.settings.SettingsReader;
import org.boragethread.process.settings.SettingsSection;

/**
 * Which decision policies an entry uses. Each has a baseline to compare with.
 *
 * @param selection how an upstream is chosen
 * @param retry whether a failed attempt is followed by another
 * @param maxAttempts greatest number of attempts at one stage
 * @param hedge whether a slow attempt is joined by a second one
 * @param deadline whether requests that cannot end in time are refused early
 * @param teamLimits whether teams' rates and concurrency are bounded
 */
public record PolicySettings(
        Selection selection,
        Retry retry,
        int maxAttempts,
        Hedge hedge,
        Deadline deadline,
        boolean teamLimits) {

    private static final int DEFAULT_ATTEMPTS = 3;
    private static final int MOST_ATTEMPTS = 10;

    /** Reads the section; problems are recorded in the reader. */
    static PolicySettings read(SettingsReader reader) {
        SettingsSection section = reader.section("policies");
        PolicySettings settings =
                new PolicySettings(
                        section.enumConstant("selection", Selection.class, Selection.LOCALITY),
                        section.enumConstant("retry", Retry.class, Retry.SAFE),
                        section.integer("max_attempts", DEFAULT_ATTEMPTS, 1, MOST_ATTEMPTS),
                        section.enumConstant("hedge", Hedge.class, Hedge.TAIL),
                        section.enumConstant("deadline", Deadline.class, Deadline.OBSERVED),
                        section.bool("team_limits", true));
        section.reportUnknownKeys();
        return settings;
    }

    /** Ways to choose an upstream. */
    public enum Selection {
        /** The nearest data centre with room, then the less loaded of two; engines by prefix. */
        LOCALITY,
        /** Baseline: each in turn. */
        ROUND_ROBIN
    }

    /** Ways to follow a failed attempt. */
    public enum Retry {
        /** Where it is safe, after a back-off, within a budget for each group. */
        SAFE,
        /** Baseline: where it is safe, at once. */
        AT_ONCE,
        /** Baseline: never. */
        NEVER
    }

    /** Ways to treat a slow attempt. */
    public enum Hedge {
        /** A second attempt after the group's 95th percentile, within the budget. */
        TAIL,
        /** Baseline: never. */
        NEVER
    }

    /** Ways to treat deadlines. */
    public enum Deadline {
        /** Refuses early what the observed times rule out. */
        OBSERVED,
        /** Baseline: every request may use its whole deadline. */
        WHOLE
    }
}
