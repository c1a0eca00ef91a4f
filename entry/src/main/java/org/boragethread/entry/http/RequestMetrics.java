package org.boragethread.entry.http;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.boragethread.model.outcome.RefusalReason;

/** Counts requests of callers: answers, refusals by reason, and those in progress. */
public final class RequestMetrics {

    private final Counter mAnswered;
    private final Map<RefusalReason, Counter> mRefusals = new EnumMap<>(RefusalReason.class);
    private final AtomicInteger mInProgress = new AtomicInteger();

    /** Registers all counters, so that each is shown from the start. */
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

    /** Counts a whole answer. */
    public void answered() {
        mAnswered.increment();
    }

    /** Counts a refused or failed request. */
    public void refused(RefusalReason reason) {
        mRefusals.get(reason).increment();
    }

    /** Counts a request that begins. */
    public void begin() {
        mInProgress.incrementAndGet();
    }

    /** Counts a request that ends. */
    public void end() {
        mInProgress.decrementAndGet();
    }

    /** Returns the number of requests in progress. */
    public int inProgress() {
        return mInProgress.get();
    }
}
