package org.boragethread.core.breaker;

import java.util.Locale;

/** Why the state of a circuit breaker changed. Each reason has its own counter. */
public enum BreakerChange {
    /** Opened after consecutive failures. */
    OPENED_BY_RUN,
    /** Opened because most of the recent calls failed. */
    OPENED_BY_RATE,
    /** Opened again because a probe failed. */
    PROBE_FAILED,
    /** Became half-open after the back-off and let a probe through. */
    PROBE_STARTED,
    /** Closed after a successful probe. */
    CLOSED;

    /** Returns the name used in metrics, such as {@code opened-by-run}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
