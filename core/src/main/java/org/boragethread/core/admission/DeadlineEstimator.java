package org.boragethread.core.admission;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.deadline.ServiceTimes;
import org.boragethread.core.time.TimeSource;

/** Estimates from recent service times of the upstream whether calls can meet their deadlines. */
final class DeadlineEstimator {

    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final int MIN_SAMPLES = 8;
    private static final double OPTIMISTIC_QUANTILE = 0.25;
    private static final double TYPICAL_QUANTILE = 0.5;
    private static final double CAUTIOUS_QUANTILE = 0.9;
    private static final Duration PROBE_INTERVAL = Duration.ofSeconds(1);
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(10);
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(5);
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(100);

    private final TimeSource mTime;
    private final ServiceTimes mServiceTimes;
    private long mLastProbeNanos;

    DeadlineEstimator(TimeSource time) {
        mTime = time;
        mServiceTimes = new ServiceTimes(time, WINDOW, MIN_SAMPLES);
        mLastProbeNanos = time.nanoTime();
    }

    void record(Duration latency) {
        mServiceTimes.record(latency);
    }

    /**
     * Returns the time until the deadline of a call, in nanoseconds; negative once it has passed.
     */
    long remainingNanos(AdmissionRequest request) {
        long deadline = request.deadlineNanos();
        return deadline == Long.MAX_VALUE ? deadline : deadline - mTime.nanoTime();
    }

    /**
     * Returns whether a call cannot meet its deadline even if it runs at once and the upstream
     * responds quickly.
     */
    boolean isInfeasible(AdmissionRequest request) {
        return remainingNanos(request) < quantileNanos(OPTIMISTIC_QUANTILE);
    }

    /**
     * Returns whether a call is likely to miss its deadline if the given number of calls run before
     * it. Applied while calls compete for capacity, because other calls make better use of it.
     */
    boolean isLikelyLate(AdmissionRequest request, int ahead, int limit) {
        long wait = ahead * quantileNanos(TYPICAL_QUANTILE) / limit;
        return remainingNanos(request) < wait + quantileNanos(CAUTIOUS_QUANTILE);
    }

    /**
     * Returns whether a call that seems infeasible may run all the same, and counts it as a probe
     * if so. Probes keep the estimate up to date: if every call were refused, no new service times
     * would be observed.
     */
    boolean tryProbe() {
        if (mTime.since(mLastProbeNanos).compareTo(PROBE_INTERVAL) < 0) {
            return false;
        }
        mLastProbeNanos = mTime.nanoTime();
        return true;
    }

    /** Returns the time until a queued call becomes infeasible. */
    Duration timeUntilInfeasible(AdmissionRequest request) {
        return Duration.ofNanos(remainingNanos(request) - quantileNanos(OPTIMISTIC_QUANTILE));
    }

    /** Returns the expected time until the given number of queued calls has been admitted. */
    Duration retryAfter(int queued, int limit) {
        Optional<Duration> typical = mServiceTimes.quantile(TYPICAL_QUANTILE);
        if (typical.isEmpty()) {
            return DEFAULT_RETRY_AFTER;
        }
        Duration wait = typical.get().multipliedBy(queued + 1L).dividedBy(limit);
        if (wait.compareTo(MIN_RETRY_AFTER) < 0) {
            return MIN_RETRY_AFTER;
        }
        return wait.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : wait;
    }

    private long quantileNanos(double quantile) {
        return mServiceTimes.quantile(quantile).map(Duration::toNanos).orElse(0L);
    }
}
