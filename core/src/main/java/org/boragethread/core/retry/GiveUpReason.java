package org.boragethread.core.retry;

import java.util.Locale;

/** Why a failed call is not tried again. Each reason has a counter of its own. */
public enum GiveUpReason {
    /** The failure is of a kind that another upstream cannot mend. */
    NOT_RETRYABLE,
    /** The stage is not idempotent and may have run. */
    MAY_HAVE_RUN,
    /** The call has been tried as often as allowed. */
    ATTEMPTS_EXHAUSTED,
    /** Too little time is left for another attempt. */
    NO_TIME,
    /** The group's budget of extra calls is used up. */
    BUDGET_EXHAUSTED,
    /** Retries are switched off. */
    RETRIES_OFF;

    /** Returns the name used in metrics, such as {@code no-time}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
