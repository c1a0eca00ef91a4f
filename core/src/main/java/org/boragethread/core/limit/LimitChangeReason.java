package org.boragethread.core.limit;

import java.util.Locale;

/** Why a concurrency limit changed. Each reason has its own counter. */
public enum LimitChangeReason {
    /** Enough successful responses arrived while the limit was being reached. */
    GOOD_ANSWERS,
    /** The upstream rejected a call because it is overloaded. */
    BUSY,
    /** The upstream returned an error or its response was cut short. */
    FAILED,
    /** The upstream did not respond in time. */
    TIMED_OUT,
    /** Recent responses were several times slower than the baseline. */
    LATENCY_JUMP,
    /** Consecutive failures or slow responses show that the upstream has become cold. */
    COLD_AGAIN,
    /** The connection to the upstream could not be established. */
    UNREACHABLE,
    /** The upstream was lost or restarted. */
    LOST,
    /** There was no successful response for so long that the upstream may have become cold. */
    IDLE,
    /** The upstream reported a lower limit. */
    REPORTED_LOAD,
    /** The configuration of the group changed. */
    CONFIGURED;

    /** Returns the name used in metrics, such as {@code latency-jump}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
