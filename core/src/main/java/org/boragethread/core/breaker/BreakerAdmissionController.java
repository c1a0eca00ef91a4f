package org.boragethread.core.breaker;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.boragethread.core.admission.AdmissionController;
import org.boragethread.core.admission.AdmissionEvents;
import org.boragethread.core.admission.AdmissionRequest;
import org.boragethread.core.admission.CallOutcome;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.upstream.UpstreamLoad;

/**
 * Puts a circuit breaker in front of an admission controller. While the upstream keeps failing,
 * calls are refused before they reach it, so the refusal can safely say that the call did not run,
 * and the reported limit is 0.
 */
public final class BreakerAdmissionController implements AdmissionController {

    private static final CancelHandle NOT_QUEUED = () -> {};
    private static final Duration RETRY_AFTER = Duration.ofMillis(500);

    private final AdmissionController mController;
    private final Breaker mBreaker;
    private final AdmissionEvents mEvents;

    /**
     * Creates a controller.
     *
     * @param events listener for the calls that the breaker refuses
     */
    public BreakerAdmissionController(
            AdmissionController controller, Breaker breaker, AdmissionEvents events) {
        mController = Objects.requireNonNull(controller, "controller");
        mBreaker = Objects.requireNonNull(breaker, "breaker");
        mEvents = Objects.requireNonNull(events, "events");
    }

    @Override
    public CancelHandle requestAdmission(AdmissionRequest request, Listener listener) {
        Optional<Breaker.CallHandle> handle = mBreaker.tryStartCall();
        if (handle.isEmpty()) {
            mEvents.onRefused(RefusalReason.CIRCUIT_OPEN);
            listener.onRefused(
                    Refusal.notRun(
                            RefusalReason.CIRCUIT_OPEN,
                            "the agent does not call its upstream because recent calls failed",
                            RETRY_AFTER));
            return NOT_QUEUED;
        }
        HandleListener call = new HandleListener(listener, handle.get());
        CancelHandle cancelHandle = mController.requestAdmission(request, call);
        return () -> {
            cancelHandle.cancel();
            call.onCancelled();
        };
    }

    @Override
    public UpstreamLoad load() {
        UpstreamLoad load = mController.load();
        if (mBreaker.allowsCalls()) {
            return load;
        }
        return new UpstreamLoad(load.inFlight(), 0, load.queued(), load.cold(), load.draining());
    }

    @Override
    public void setLeaving(boolean leaving) {
        mController.setLeaving(leaving);
    }

    /** Completes the breaker's handle when the call ends. */
    private static final class HandleListener implements Listener {
        private final Listener mListener;
        private final Breaker.CallHandle mHandle;
        private volatile boolean mAdmitted;

        HandleListener(Listener listener, Breaker.CallHandle handle) {
            mListener = listener;
            mHandle = handle;
        }

        @Override
        public void onAdmitted(Permit permit) {
            mAdmitted = true;
            mListener.onAdmitted(
                    (outcome, latency) -> {
                        mHandle.complete(outcome);
                        permit.complete(outcome, latency);
                    });
        }

        @Override
        public void onRefused(Refusal refusal) {
            mHandle.complete(CallOutcome.CANCELLED);
            mListener.onRefused(refusal);
        }

        /**
         * Completes the handle if the call was cancelled before admission, so that another probe
         * can start.
         */
        void onCancelled() {
            if (!mAdmitted) {
                mHandle.complete(CallOutcome.CANCELLED);
            }
        }
    }
}
