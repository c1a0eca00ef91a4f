package org.boragethread.core.breaker;

import java.util.Optional;
import org.boragethread.core.admission.CallOutcome;

/** Decides whether an upstream is called at all. Safe for use by several threads. */
public interface Breaker {

    /** Tells whether a call could start now, for choosing among upstreams. */
    boolean allowsCalls();

    /** Starts a call, or returns empty if none may start. */
    Optional<CallHandle> tryStartCall();

    /** A call that has started. */
    interface CallHandle {
        /** Tells how the call ended. Later calls have no effect. */
        void complete(CallOutcome outcome);
    }
}
