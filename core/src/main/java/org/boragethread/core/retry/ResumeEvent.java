package org.boragethread.core.retry;

import java.util.Locale;

/** What happened to a token or an attempt of a stream. Each event has a counter of its own. */
public enum ResumeEvent {
    /** The token is the next one and goes to the caller. */
    DELIVERED,
    /** The caller has the token already. */
    REPEAT_DROPPED,
    /** The token or end is of an attempt that has been replaced or has shown a gap. */
    STALE_DROPPED,
    /** The engine left out tokens, so the attempt is of no use. */
    GAP,
    /** The stream has ended whole. */
    ENDED;

    /** Returns the name used in metrics, such as {@code repeat-dropped}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
