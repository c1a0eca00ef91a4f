package org.boragethread.core.breaker;

/** Receives the changes of circuit breakers, for metrics and logs. */
public interface BreakerEvents {

    /** Ignores all events. */
    BreakerEvents NONE = change -> {};

    /** A breaker changed its state. Must not block and must not call the breaker. */
    void onChange(BreakerChange change);
}
