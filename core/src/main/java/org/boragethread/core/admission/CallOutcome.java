package org.boragethread.core.admission;

/** How a call to an upstream ended. */
public enum CallOutcome {
    /** The whole answer arrived. */
    GOOD,
    /** The upstream refused the call because it is overloaded. */
    BUSY,
    /** The upstream answered with an error or its answer was cut. */
    FAILED,
    /** No connection could be made. */
    UNREACHABLE,
    /** The call's deadline passed while the upstream worked on it. */
    TIMED_OUT,
    /** The caller withdrew the call; it says nothing about the upstream. */
    CANCELLED
}
