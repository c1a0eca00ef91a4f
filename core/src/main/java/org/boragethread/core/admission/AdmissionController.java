package org.boragethread.core.admission;

import java.time.Duration;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.upstream.UpstreamLoad;

/**
 * The only way to one upstream. A gate admits a call at once, keeps it waiting or refuses it.
 * Implementations are safe for use by several threads and call listeners without holding locks.
 */
public interface AdmissionController {

    /**
     * Asks for admission. The listener is called exactly once, on this thread or on the thread that
     * later frees capacity.
     *
     * @return a handle that withdraws the call while it waits
     */
    CancelHandle requestAdmission(AdmissionRequest request, Listener listener);

    /** Returns the present load, for answers to entries. */
    UpstreamLoad load();

    /**
     * Refuses all new and waiting calls from now on, or takes calls again. Admitted calls are not
     * affected.
     */
    void setLeaving(boolean leaving);

    /** Receives the gate's decision about one call. */
    interface Listener {
        /** The call may go to the upstream; the permit must be closed once it has ended. */
        void onAdmitted(Permit permit);

        /** The call must not go to the upstream. */
        void onRefused(Refusal refusal);
    }

    /** A call that may be waiting. */
    interface CancelHandle {
        /** Withdraws the call if it still waits; its listener is then never called. */
        void cancel();
    }

    /** The right to one call in flight. */
    interface Permit {
        /**
         * Ends the call and tells the gate how it went. Later calls have no effect.
         *
         * @param outcome how the call ended
         * @param latency time from admission to the end of the call
         */
        void complete(CallOutcome outcome, Duration latency);
    }
}
