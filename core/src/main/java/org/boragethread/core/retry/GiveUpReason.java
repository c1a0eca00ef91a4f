package org.boragethread.core.retry;

import java.util.Locale;

/** Why a failed call is not retried. Each reason has its own counter. */
public enum GiveUpReason {
    /** Another upstream cannot fix this kind of failure. */
    NOT_RETRYABLE,
    /** The stage is not idempotent and may have run. */
    MAY_HAVE_RUN,
    /** The maximum number of attempts has been made. */
    ATTEMPTS_EXHAUSTED,
    /** Too little time is left for another attempt. */
    NO_TIME,
    /** The group's budget of extra calls is exhausted. */
    BUDGET_EXHAUSTED,
    /** Retries are disabled. */
    RETRIES_OFF;

    /** Returns the name used in metrics, such as {@code no-time}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
