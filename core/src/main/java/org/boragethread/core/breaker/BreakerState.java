package org.boragethread.core.breaker;

/** State of a circuit breaker. */
public enum BreakerState {
    /** Calls pass. */
    CLOSED,
    /** No call passes until the back-off has elapsed. */
    OPEN,
    /** One probe at a time passes. */
    HALF_OPEN
}
