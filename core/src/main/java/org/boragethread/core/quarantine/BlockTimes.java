package org.boragethread.core.quarantine;

import java.time.Duration;

/**
 * How long a suspect is blocked before single requests with it are sent again.
 *
 * @param provisional time while only few upstreams crashed under it, perhaps by chance
 * @param confirmed time after that; doubles with each crash that follows
 */
public record BlockTimes(Duration provisional, Duration confirmed) {

    /** Multiple of the time in which all entries learn of a crash, for a provisional block. */
    private static final int PROVISIONAL_WINDOWS = 2;

    /** Returns the times for entries that learn of each other's reports within a time. */
    public static BlockTimes of(Duration stableWindow, Duration confirmed) {
        Duration provisional = stableWindow.multipliedBy(PROVISIONAL_WINDOWS);
        return new BlockTimes(
                provisional.compareTo(confirmed) < 0 ? provisional : confirmed, confirmed);
    }
}
