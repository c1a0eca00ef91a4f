package org.boragethread.core.breaker;

import java.util.Locale;

/** Why a circuit breaker changed its state. Each reason has a counter of its own. */
public enum BreakerChange {
    /** Opened after failures in a row. */
    OPENED_BY_RUN,
    /** Opened because most of the recent calls failed. */
    OPENED_BY_RATE,
    /** Opened again because a probe failed. */
    PROBE_FAILED,
    /** Lets a probe through after the back-off. */
    PROBE_STARTED,
    /** Closed after a good probe. */
    CLOSED;

    /** Returns the name used in metrics, such as {@code opened-by-run}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
