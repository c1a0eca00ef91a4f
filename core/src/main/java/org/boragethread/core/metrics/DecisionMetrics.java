package org.boragethread.core.metrics;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import java.util.Objects;
import org.boragethread.core.breaker.BreakerChange;
import org.boragethread.core.breaker.BreakerEvents;
import org.boragethread.core.retry.ExtraAttemptKind;
import org.boragethread.core.retry.GiveUpReason;
import org.boragethread.core.retry.HedgeDecision;
import org.boragethread.core.retry.ResumeEvent;
import org.boragethread.core.retry.RetryDecision;
import org.boragethread.core.retry.RetryReason;
import org.boragethread.model.outcome.RefusalReason;

/**
 * Counters of decisions about requests, by reason. All reasons are registered up front, so that
 * those that never occurred are exported as 0.
 */
public final class DecisionMetrics implements BreakerEvents, DecisionEvents {

    /** Name of the counter of refusals, by reason. */
    public static final String REFUSALS = "boragethread.refusals";

    /** Name of the counter of retries, by reason. */
    public static final String RETRIES = "boragethread.retries";

    /** Name of the counter of attempts beyond the first, by kind. */
    public static final String EXTRA_ATTEMPTS = "boragethread.extra.attempts";

    /** Name of the counter of failed calls that are not retried, by reason. */
    public static final String GIVE_UPS = "boragethread.retry.give.ups";

    /** Name of the counter of decisions made when a hedge was due, by decision. */
    public static final String HEDGES = "boragethread.hedges";

    /** Name of the counter of state changes of circuit breakers, by reason. */
    public static final String BREAKER_CHANGES = "boragethread.breaker.changes";

    /** Name of the counter of tokens and ends of streams, by event. */
    public static final String STREAM_EVENTS = "boragethread.stream.events";

    private final ReasonCounters<RefusalReason> mRefusals;
    private final ReasonCounters<RetryReason> mRetries;
    private final ReasonCounters<ExtraAttemptKind> mExtraAttempts;
    private final ReasonCounters<GiveUpReason> mGiveUps;
    private final ReasonCounters<HedgeDecision> mHedges;
    private final ReasonCounters<BreakerChange> mBreakerChanges;
    private final ReasonCounters<ResumeEvent> mStreamEvents;

    /** Registers all counters. */
    public DecisionMetrics(MeterRegistry registry) {
        Objects.requireNonNull(registry, "registry");
        Tags none = Tags.empty();
        mRefusals =
                new ReasonCounters<>(
                        registry, REFUSALS, "Requests refused", none, RefusalReason.class);
        mRetries =
                new ReasonCounters<>(registry, RETRIES, "Calls retried", none, RetryReason.class);
        mExtraAttempts =
                new ReasonCounters<>(
                        registry,
                        EXTRA_ATTEMPTS,
                        "Attempts beyond the first",
                        none,
                        ExtraAttemptKind.class);
        mGiveUps =
                new ReasonCounters<>(
                        registry, GIVE_UPS, "Failed calls not retried", none, GiveUpReason.class);
        mHedges =
                new ReasonCounters<>(
                        registry, HEDGES, "Hedges that came due", none, HedgeDecision.class);
        mBreakerChanges =
                new ReasonCounters<>(
                        registry,
                        BREAKER_CHANGES,
                        "Changes of circuit breakers",
                        none,
                        BreakerChange.class);
        mStreamEvents =
                new ReasonCounters<>(
                        registry,
                        STREAM_EVENTS,
                        "Tokens and ends of streams",
                        none,
                        ResumeEvent.class);
    }

    /** Counts a refusal that is returned to the caller. */
    public void onRefused(RefusalReason reason) {
        mRefusals.count(reason);
    }

    @Override
    public void onRetryDecision(RetryDecision decision) {
        if (decision instanceof RetryDecision.Retry retry) {
            mRetries.count(retry.reason());
            mExtraAttempts.count(retry.reason().kind());
        } else if (decision instanceof RetryDecision.GiveUp giveUp) {
            mGiveUps.count(giveUp.reason());
        }
    }

    @Override
    public void onHedgeDecision(HedgeDecision decision) {
        mHedges.count(decision);
        if (decision == HedgeDecision.SENT) {
            mExtraAttempts.count(ExtraAttemptKind.EXTRA_CALL);
        }
    }

    @Override
    public void onStreamEvent(ResumeEvent event) {
        mStreamEvents.count(event);
    }

    @Override
    public void onChange(BreakerChange change) {
        mBreakerChanges.count(change);
    }
}
