package org.boragethread.bench.load;

import java.util.Locale;

/** The set of decision rules that the processes use. */
public enum Variant {
    /** The policies under test. */
    POLICY(
            """
            [policies]
            selection = "locality"
            retry = "safe"
            hedge = "tail"
            deadline = "observed"
            team_limits = true
            """,
            """
            [gate]
            limit = "adaptive"
            order = "fair"
            breaker = true
            """),
    /** Simple rules for comparison. */
    BASELINE(
            """
            [policies]
            selection = "round-robin"
            retry = "at-once"
            hedge = "never"
            deadline = "whole"
            team_limits = false
            """,
            """
            [gate]
            limit = "fixed"
            order = "fifo"
            breaker = false
            """);

    private final String mEntrySettings;
    private final String mAgentSettings;

    Variant(String entrySettings, String agentSettings) {
        mEntrySettings = entrySettings;
        mAgentSettings = agentSettings;
    }

    /** Returns the sections of an entry's settings. */
    public String entrySettings() {
        return mEntrySettings;
    }

    /** Returns the sections of an agent's settings. */
    public String agentSettings() {
        return mAgentSettings;
    }

    /** Returns the name of the variant in the results. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
