package org.boragethread.core.breaker;

/** Listener for state changes of circuit breakers, used for metrics and logs. */
public interface BreakerEvents {

    /** Ignores all events. */
    BreakerEvents NONE = change -> {};

    /** Called when a breaker changed its state. Must not block and must not call the breaker. */
    void onChange(BreakerChange change);
}
