package org.boragethread.entry.http;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntSupplier;
import org.boragethread.core.job.JobService;
import org.boragethread.model.job.JobStatus;
import org.boragethread.model.outcome.RefusalReason;

/** Counters of submissions, and gauges of the jobs of each status. */
public final class JobMetrics {

    private final MeterRegistry mRegistry;
    private final Counter mAccepted;
    private final Map<RefusalReason, Counter> mRefused = new EnumMap<>(RefusalReason.class);

    /** Registers all counters, so that each is exported from the start. */
    public JobMetrics(MeterRegistry registry) {
        mRegistry = registry;
        mAccepted =
                Counter.builder("boragethread.entry.jobs.accepted")
                        .description("Submissions that were answered with a kept job")
                        .register(registry);
        for (RefusalReason reason : RefusalReason.values()) {
            mRefused.put(
                    reason,
                    Counter.builder("boragethread.entry.jobs.refused")
                            .description("Calls about jobs that were refused")
                            .tag("reason", reason.label())
                            .register(registry));
        }
    }

    /**
     * Registers the gauges of the jobs of a service.
     *
     * @param running returns the number of jobs that this entry runs
     */
    public void registerGauges(JobService jobs, IntSupplier running) {
        for (JobStatus status : JobStatus.values()) {
            String label = status.name().toLowerCase(Locale.ROOT);
            Gauge.builder("boragethread.entry.jobs", jobs, j -> j.table().count(status))
                    .description("Known jobs of all entries")
                    .tag("status", label)
                    .register(mRegistry);
        }
        Gauge.builder("boragethread.entry.jobs.unfinished", jobs, j -> j.table().unfinished())
                .description("Jobs of all entries that have not ended")
                .register(mRegistry);
        Gauge.builder("boragethread.entry.jobs.running.here", running, IntSupplier::getAsInt)
                .description("Jobs that this entry runs")
                .strongReference(true)
                .register(mRegistry);
    }

    void accepted() {
        mAccepted.increment();
    }

    void refused(RefusalReason reason) {
        mRefused.get(reason).increment();
    }
}
