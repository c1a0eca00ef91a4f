package org.boragethread.core.admission;

import java.time.Duration;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.upstream.UpstreamLoad;

/**
 * Controls which calls reach one upstream. All calls to the upstream pass through its controller,
 * which admits each at once, queues it or refuses it. Implementations are thread-safe and call
 * listeners without holding locks.
 */
public interface AdmissionController {

    /**
     * Requests admission. The listener is called exactly once, on this thread or on the thread that
     * later frees capacity, unless the call is cancelled first.
     *
     * @return a handle that cancels the call while it is queued
     */
    CancelHandle requestAdmission(AdmissionRequest request, Listener listener);

    /** Returns the current load, which is reported to entries with each response. */
    UpstreamLoad load();

    /**
     * Sets whether the upstream is leaving service. While it is, all new and queued calls are
     * refused; calls already admitted are not affected.
     */
    void setLeaving(boolean leaving);

    /** Receives the admission decision for one call. */
    interface Listener {
        /**
         * Called when the call may be sent to the upstream; the permit must be completed once the
         * call has ended.
         */
        void onAdmitted(Permit permit);

        /** Called when the call must not be sent to the upstream. */
        void onRefused(Refusal refusal);
    }

    /** Cancels a call that may be queued. */
    interface CancelHandle {
        /**
         * Removes the call from the queue if it is still there; its listener is then never called.
         * Has no effect otherwise.
         */
        void cancel();
    }

    /** Permission for one call to be in flight. */
    interface Permit {
        /**
         * Ends the call and records its outcome. Only the first invocation has an effect.
         *
         * @param outcome how the call ended
         * @param latency time from admission to the end of the call
         */
        void complete(CallOutcome outcome, Duration latency);
    }
}
