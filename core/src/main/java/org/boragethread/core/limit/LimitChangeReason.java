package org.boragethread.core.limit;

import java.util.Locale;

/** Why a concurrency limit changed. Each reason has a counter of its own. */
public enum LimitChangeReason {
    /** Enough good answers arrived while the limit was in use. */
    GOOD_ANSWERS,
    /** The upstream refused a call because it is overloaded. */
    BUSY,
    /** The upstream answered with an error or its answer was cut. */
    FAILED,
    /** The upstream did not answer in time. */
    TIMED_OUT,
    /** Recent answers took several times as long as usual. */
    LATENCY_JUMP,
    /** Failures or slow answers in a row show that the upstream has become cold. */
    COLD_AGAIN,
    /** No connection to the upstream could be made. */
    UNREACHABLE,
    /** The upstream was lost or restarted. */
    LOST,
    /** No good answer for so long that the upstream may have become cold. */
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
