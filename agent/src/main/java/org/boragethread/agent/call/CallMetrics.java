package org.boragethread.agent.call;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.boragethread.core.admission.CallOutcome;
import org.boragethread.model.outcome.RefusalReason;

/** Counts refusals by reason and calls by outcome. */
public final class CallMetrics {

    private final Map<RefusalReason, Counter> mRefusals = new EnumMap<>(RefusalReason.class);
    private final Map<CallOutcome, Counter> mOutcomes = new EnumMap<>(CallOutcome.class);

    /** Registers all counters, so that each is exported with value 0 from the start. */
    public CallMetrics(MeterRegistry registry) {
        for (RefusalReason reason : RefusalReason.values()) {
            mRefusals.put(
                    reason,
                    Counter.builder("boragethread.agent.refusals")
                            .description("Calls that the agent refused")
                            .tag("reason", reason.label())
                            .register(registry));
        }
        for (CallOutcome outcome : CallOutcome.values()) {
            String label = outcome.name().toLowerCase(Locale.ROOT).replace('_', '-');
            mOutcomes.put(
                    outcome,
                    Counter.builder("boragethread.agent.calls")
                            .description("Calls to the upstream that have ended")
                            .tag("outcome", label)
                            .register(registry));
        }
    }

    /** Counts a refused call. */
    public void refused(RefusalReason reason) {
        mRefusals.get(reason).increment();
    }

    /** Counts a call that has ended. */
    public void ended(CallOutcome outcome) {
        mOutcomes.get(outcome).increment();
    }
}
