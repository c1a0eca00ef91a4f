package org.boragethread.core.retry;

import java.util.Locale;

/** What happened to a token or an attempt of a stream. Each event has its own counter. */
public enum ResumeEvent {
    /** The token is the next one and is passed on to the caller. */
    DELIVERED,
    /** The caller has already received the token; it is dropped. */
    REPEAT_DROPPED,
    /**
     * The token or end mark belongs to an attempt that has been replaced or has a gap; it is
     * dropped.
     */
    STALE_DROPPED,
    /** The engine skipped tokens, so the rest of the attempt cannot be used. */
    GAP,
    /** The stream is complete. */
    ENDED;

    /** Returns the name used in metrics, such as {@code repeat-dropped}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
