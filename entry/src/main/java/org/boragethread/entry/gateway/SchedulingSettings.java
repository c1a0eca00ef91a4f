package org.boragethread.entry.gateway;

import org.boragethread.platform.PlatformRules;
import org.boragethread.process.settings.SettingsSection;

/**
 * How the entries of a deployment share upstreams.
 *
 * @param mode who decides where a request runs and in which order
 * @param engineMemoryEnforced whether requests wait until their tokens fit into an engine's memory,
 *     because an engine crashes if they exceed it
 */
public record SchedulingSettings(Mode mode, boolean engineMemoryEnforced) {

    /** Who decides where a request runs and in which order. */
    public enum Mode {

        /** Each entry decides by what it has sent itself. */
        LOCAL,

        /** One entry decides for all that share a group. */
        SHARED
    }

    /** Returns settings with which each entry decides by itself. */
    public static SchedulingSettings local() {
        return new SchedulingSettings(Mode.LOCAL, false);
    }

    /** Reads the settings; the platform's rules supply the defaults. */
    static SchedulingSettings read(SettingsSection section) {
        PlatformRules rules = PlatformRules.decode(section.string("platform_rules", ""));
        Mode defaultMode = rules.manyUpstreams() ? Mode.SHARED : Mode.LOCAL;
        SchedulingSettings settings =
                new SchedulingSettings(
                        section.enumConstant("mode", Mode.class, defaultMode),
                        section.bool("engine_memory_enforced", rules.engineMemoryEnforced()));
        section.reportUnknownKeys();
        return settings;
    }

    /** Returns whether one entry decides for all that share a group. */
    public boolean isShared() {
        return mode == Mode.SHARED;
    }
}
