package org.boragethread.bench.load;

import java.util.Locale;

/** Which decisions the processes use. */
public enum Variant {
    /** The policies. */
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
    /** The plain ways to compare with. */
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

    /** Returns the name that results carry. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
