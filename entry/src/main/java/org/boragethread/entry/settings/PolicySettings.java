package org.boragethread.entry.settings;

import org.boragethread.process.settings.SettingsReader;
import org.boragethread.process.settings.SettingsSection;

/**
 * Which decision policies an entry uses.
 *
 * @param selection how an upstream is chosen
 * @param maxAttempts greatest number of attempts at one stage
 */
public record PolicySettings(Selection selection, int maxAttempts) {

    private static final int DEFAULT_ATTEMPTS = 3;
    private static final int MOST_ATTEMPTS = 10;

    /** Reads the section; problems are recorded in the reader. */
    static PolicySettings read(SettingsReader reader) {
        SettingsSection section = reader.section("policies");
        PolicySettings settings =
                new PolicySettings(
                        section.choice("selection", Selection.class, Selection.ROUND_ROBIN),
                        section.integer("max_attempts", DEFAULT_ATTEMPTS, 1, MOST_ATTEMPTS));
        section.finish();
        return settings;
    }

    /** Ways to choose an upstream. */
    public enum Selection {
        /** Each in turn. */
        ROUND_ROBIN
    }
}
