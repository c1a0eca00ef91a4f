package org.boragethread.core.admission;

/** How a call to an upstream ended. */
public enum CallOutcome {
    /** The complete response arrived. */
    GOOD,
    /** The upstream rejected the call because it is overloaded. */
    BUSY,
    /** The upstream returned an error or its response was cut short. */
    FAILED,
    /** The connection to the upstream could not be established. */
    UNREACHABLE,
    /** The call's deadline passed while the upstream was processing it. */
    TIMED_OUT,
    /** The caller cancelled the call, which carries no information about the upstream's health. */
    CANCELLED
}
