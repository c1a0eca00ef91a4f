package org.boragethread.core.breaker;

import java.util.Optional;
import org.boragethread.core.admission.CallOutcome;

/** Decides whether calls may be sent to an upstream at all. Implementations are thread-safe. */
public interface Breaker {

    /** Returns whether a call could start now; used when choosing among upstreams. */
    boolean allowsCalls();

    /** Starts a call; returns empty if none may start now. */
    Optional<CallHandle> tryStartCall();

    /** A call that has started. */
    interface CallHandle {
        /** Records how the call ended. Only the first invocation has an effect. */
        void complete(CallOutcome outcome);
    }
}
