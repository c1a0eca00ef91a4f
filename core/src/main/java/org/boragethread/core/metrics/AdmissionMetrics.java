package org.boragethread.core.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Objects;
import java.util.function.ToDoubleFunction;
import org.boragethread.core.admission.AdmissionController;
import org.boragethread.core.admission.AdmissionEvents;
import org.boragethread.core.breaker.BreakerChange;
import org.boragethread.core.breaker.BreakerEvents;
import org.boragethread.core.limit.LimitChange;
import org.boragethread.core.limit.LimitChangeReason;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.upstream.UpstreamId;
import org.boragethread.model.upstream.UpstreamLoad;

/**
 * Metrics of the admission controller of one upstream and of the circuit breaker before it. Create
 * this object first, pass it to the builder of the controller and to the breaker, and finally bind
 * the outermost controller.
 */
public final class AdmissionMetrics implements AdmissionEvents, BreakerEvents {

    /** Name of the counter of calls refused by the admission controller, by reason. */
    public static final String REFUSALS = "boragethread.gate.refusals";

    /** Name of the counter of state changes of the circuit breaker, by reason. */
    public static final String BREAKER_CHANGES = "boragethread.gate.breaker.changes";

    /** Name of the counter of queued calls that were displaced by others. */
    public static final String DISPLACED = "boragethread.gate.displaced";

    /** Name of the counter of changes of the concurrency limit, by reason and direction. */
    public static final String LIMIT_CHANGES = "boragethread.limit.changes";

    /** Name of the timer of the queueing time of calls that were queued and then admitted. */
    public static final String QUEUE_WAIT = "boragethread.queue.wait";

    /** Name of the gauge of the concurrency limit, in calls. */
    public static final String LIMIT = "boragethread.limit";

    /** Name of the gauge of calls in flight. */
    public static final String IN_FLIGHT = "boragethread.in.flight";

    /** Name of the gauge of queued calls. */
    public static final String QUEUED = "boragethread.queued";

    /** Name of the gauge that is 1 while the upstream warms up. */
    public static final String COLD = "boragethread.cold";

    private final MeterRegistry mRegistry;
    private final Tags mTags;
    private final ReasonCounters<RefusalReason> mRefusals;
    private final ReasonCounters<LimitChangeReason> mLowered;
    private final ReasonCounters<LimitChangeReason> mRaised;
    private final ReasonCounters<BreakerChange> mBreakerChanges;
    private final Counter mDisplaced;
    private final Timer mQueueWait;

    /** Registers all counters for an upstream. */
    public AdmissionMetrics(MeterRegistry registry, UpstreamId upstream) {
        mRegistry = Objects.requireNonNull(registry, "registry");
        mTags = Tags.of("upstream", upstream.value());
        mRefusals =
                new ReasonCounters<>(
                        registry,
                        REFUSALS,
                        "Calls refused by the gate",
                        mTags,
                        RefusalReason.class);
        mLowered = limitChanges("down");
        mRaised = limitChanges("up");
        mBreakerChanges =
                new ReasonCounters<>(
                        registry,
                        BREAKER_CHANGES,
                        "Changes of the breaker before the gate",
                        mTags,
                        BreakerChange.class);
        mDisplaced =
                Counter.builder(DISPLACED)
                        .description("Waiting calls refused to make room for others")
                        .tags(mTags)
                        .register(registry);
        mQueueWait =
                Timer.builder(QUEUE_WAIT)
                        .description("Time in the queue of admitted calls")
                        .tags(mTags)
                        .register(registry);
    }

    private ReasonCounters<LimitChangeReason> limitChanges(String direction) {
        return new ReasonCounters<>(
                mRegistry,
                LIMIT_CHANGES,
                "Changes of the concurrency limit",
                mTags.and("direction", direction),
                LimitChangeReason.class);
    }

    /** Registers the gauges of a controller's load. */
    public void bind(AdmissionController controller) {
        gauge(LIMIT, "Greatest number of calls in flight", controller, UpstreamLoad::limit);
        gauge(IN_FLIGHT, "Calls in flight", controller, UpstreamLoad::inFlight);
        gauge(QUEUED, "Calls that wait for admission", controller, UpstreamLoad::queued);
        gauge(COLD, "1 while the upstream warms up", controller, load -> load.cold() ? 1 : 0);
    }

    private void gauge(
            String name,
            String description,
            AdmissionController controller,
            ToDoubleFunction<UpstreamLoad> value) {
        Gauge.builder(name, controller, c -> value.applyAsDouble(c.load()))
                .description(description)
                .tags(mTags)
                .strongReference(true)
                .register(mRegistry);
    }

    @Override
    public void onAdmitted(Duration queueTime) {
        mQueueWait.record(queueTime);
    }

    @Override
    public void onRefused(RefusalReason reason) {
        mRefusals.count(reason);
    }

    @Override
    public void onDisplaced() {
        mDisplaced.increment();
    }

    @Override
    public void onChange(BreakerChange change) {
        mBreakerChanges.count(change);
    }

    @Override
    public void onLimitChanged(LimitChange change) {
        if (change.to() > change.from()) {
            mRaised.count(change.reason());
        } else {
            mLowered.count(change.reason());
        }
    }
}
