package org.boragethread.core.metrics;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import io.vavr.control.Either;
import org.boragethread.core.claim.ClaimDecision;
import org.boragethread.core.claim.ClaimEvents;
import org.boragethread.core.claim.ClaimService;
import org.boragethread.model.outcome.Refusal;

/** Counters of the decisions about claims, and gauges of the claims of a service. */
public final class ClaimMetrics implements ClaimEvents {

    private final MeterRegistry mRegistry;
    private final ReasonCounters<Verdict> mVerdicts;

    /** Registers all counters. */
    public ClaimMetrics(MeterRegistry registry) {
        mRegistry = registry;
        mVerdicts =
                new ReasonCounters<>(
                        registry,
                        "boragethread.entry.claims",
                        "Claims that were decided or refused",
                        Tags.empty(),
                        Verdict.class);
    }

    /** Registers the gauges of a service's open claims and of its records not yet written. */
    public void registerGauges(ClaimService claims) {
        Gauge.builder("boragethread.entry.claims.open", claims, c -> c.table().openClaims())
                .description("Claims without an outcome, of all entries")
                .register(mRegistry);
        Gauge.builder("boragethread.entry.claims.unsaved", claims, ClaimService::unsaved)
                .description("Outcomes and releases that are not yet in the log")
                .register(mRegistry);
    }

    @Override
    public void decided(Either<Refusal, ClaimDecision> decision) {
        mVerdicts.count(decision.fold(ClaimMetrics::verdict, ClaimMetrics::verdict));
    }

    private static Verdict verdict(ClaimDecision decision) {
        return decision instanceof ClaimDecision.Run ? Verdict.RUN : Verdict.REPLAY;
    }

    private static Verdict verdict(Refusal refusal) {
        return switch (refusal.reason()) {
            case KEY_IN_PROGRESS -> Verdict.IN_PROGRESS;
            case KEY_REUSED -> Verdict.KEY_REUSED;
            case LOG_UNAVAILABLE -> Verdict.LOG_UNAVAILABLE;
            default -> Verdict.UNKNOWN;
        };
    }

    private enum Verdict {
        RUN,
        REPLAY,
        IN_PROGRESS,
        KEY_REUSED,
        LOG_UNAVAILABLE,
        UNKNOWN
    }
}
