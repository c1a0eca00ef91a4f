package org.boragethread.entry.http;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.boragethread.model.outcome.RefusalReason;

/**
 * Metrics of callers' requests: complete responses, refusals by reason, and requests in progress.
 */
public final class RequestMetrics {

    private final Counter mAnswered;
    private final Map<RefusalReason, Counter> mRefusals = new EnumMap<>(RefusalReason.class);
    private final AtomicInteger mInProgress = new AtomicInteger();

    /** Registers all counters, so that each is exported from the start. */
    public RequestMetrics(MeterRegistry registry) {
        mAnswered =
                Counter.builder("boragethread.entry.answers")
                        .description("Requests that were answered whole")
                        .register(registry);
        for (RefusalReason reason : RefusalReason.values()) {
            mRefusals.put(
                    reason,
                    Counter.builder("boragethread.entry.refusals")
                            .description("Requests that were refused or failed")
                            .tag("reason", reason.label())
                            .register(registry));
        }
        Gauge.builder("boragethread.entry.requests", mInProgress, AtomicInteger::get)
                .description("Requests in progress")
                .register(registry);
    }

    /** Counts a complete response. */
    public void answered() {
        mAnswered.increment();
    }

    /** Counts a refused or failed request. */
    public void refused(RefusalReason reason) {
        mRefusals.get(reason).increment();
    }

    /** Counts a request as in progress. */
    public void begin() {
        mInProgress.incrementAndGet();
    }

    /** Counts a request as no longer in progress. */
    public void end() {
        mInProgress.decrementAndGet();
    }

    /** Returns the number of requests in progress. */
    public int inProgress() {
        return mInProgress.get();
    }
}
