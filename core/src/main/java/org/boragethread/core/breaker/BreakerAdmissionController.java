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
 * A gate behind a circuit breaker. While the upstream keeps failing, calls are refused before they
 * reach it, which is truthfully "not run", and the load says that there is no capacity.
 */
public final class BreakerAdmissionController implements AdmissionController {

    private static final CancelHandle NOT_WAITING = () -> {};
    private static final Duration RETRY_AFTER = Duration.ofMillis(500);

    private final AdmissionController mGate;
    private final Breaker mBreaker;
    private final AdmissionEvents mEvents;

    /**
     * Puts a breaker before a gate.
     *
     * @param events hears of the calls that the breaker refuses
     */
    public BreakerAdmissionController(AdmissionController gate, Breaker breaker, AdmissionEvents events) {
        mGate = Objects.requireNonNull(gate, "gate");
        mBreaker = Objects.requireNonNull(breaker, "breaker");
        mEvents = Objects.requireNonNull(events, "events");
    }

    @Override
    public CancelHandle requestAdmission(AdmissionRequest request, Listener listener) {
        Optional<Breaker.CallHandle> ticket = mBreaker.tryStartCall();
        if (ticket.isEmpty()) {
            mEvents.onRefused(RefusalReason.CIRCUIT_OPEN);
            listener.onRefused(
                    Refusal.notRun(
                            RefusalReason.CIRCUIT_OPEN,
                            "the agent does not call its upstream because recent calls failed",
                            RETRY_AFTER));
            return NOT_WAITING;
        }
        TicketListener call = new TicketListener(listener, ticket.get());
        CancelHandle waiting = mGate.requestAdmission(request, call);
        return () -> {
            waiting.cancel();
            call.onWithdrawn();
        };
    }

    @Override
    public UpstreamLoad load() {
        UpstreamLoad load = mGate.load();
        if (mBreaker.allowsCalls()) {
            return load;
        }
        return new UpstreamLoad(load.inFlight(), 0, load.queued(), load.cold(), load.leaving());
    }

    @Override
    public void setLeaving(boolean leaving) {
        mGate.setLeaving(leaving);
    }

    /** Ends the breaker's ticket with the call. */
    private static final class TicketListener implements Listener {
        private final Listener mListener;
        private final Breaker.CallHandle mTicket;
        private volatile boolean mAdmitted;

        TicketListener(Listener listener, Breaker.CallHandle ticket) {
            mListener = listener;
            mTicket = ticket;
        }

        @Override
        public void onAdmitted(Permit permit) {
            mAdmitted = true;
            mListener.onAdmitted(
                    (outcome, latency) -> {
                        mTicket.complete(outcome);
                        permit.complete(outcome, latency);
                    });
        }

        @Override
        public void onRefused(Refusal refusal) {
            mTicket.complete(CallOutcome.CANCELLED);
            mListener.onRefused(refusal);
        }

        /** Frees the probe's place if the call has not reached the upstream. */
        void onWithdrawn() {
            if (!mAdmitted) {
                mTicket.complete(CallOutcome.CANCELLED);
            }
        }
    }
}
