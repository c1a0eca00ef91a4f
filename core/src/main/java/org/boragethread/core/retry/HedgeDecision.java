package org.boragethread.core.retry;

import java.util.Locale;

/** Whether an attempt is hedged, and if not, why. Each decision has its own counter. */
public enum HedgeDecision {
    /** A second attempt is sent to another upstream. */
    SENT,
    /** The stage may not run more than once. */
    NOT_IDEMPOTENT,
    /** Too little time is left for a second attempt. */
    NO_TIME,
    /** The utilisation of the group is too high for a second attempt. */
    NO_ROOM,
    /** The group's budget of extra calls is exhausted. */
    BUDGET_EXHAUSTED,
    /** Hedging is disabled. */
    HEDGES_OFF;

    /** Returns the name used in metrics, such as {@code no-time}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
