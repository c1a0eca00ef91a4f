package org.boragethread.core.retry;

import java.util.Locale;

/** Whether an attempt is hedged, and why not. Each decision has a counter of its own. */
public enum HedgeDecision {
    /** A second attempt is sent to another upstream. */
    SENT,
    /** The stage may not run more than once. */
    NOT_IDEMPOTENT,
    /** Too little time is left for a second attempt. */
    NO_TIME,
    /** The group is too busy for a second attempt. */
    NO_ROOM,
    /** The group's budget of extra calls is used up. */
    BUDGET_EXHAUSTED,
    /** Hedges are switched off. */
    HEDGES_OFF;

    /** Returns the name used in metrics, such as {@code no-time}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
