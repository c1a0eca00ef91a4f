package org.boragethread.core.admission;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.deadline.ServiceTimes;
import org.boragethread.core.time.TimeSource;

/** Compares the time left to a call with the time that the upstream takes. */
final class DeadlineEstimator {

    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final int MIN_SAMPLES = 8;
    private static final double OPTIMISTIC = 0.25;
    private static final double TYPICAL = 0.5;
    private static final double CAUTIOUS = 0.9;
    private static final Duration PROBE_INTERVAL = Duration.ofSeconds(1);
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(10);
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(5);
    private static final Duration UNKNOWN_RETRY_AFTER = Duration.ofMillis(100);

    private final TimeSource mTime;
    private final ServiceTimes mTimes;
    private long mProbedNanos;

    DeadlineEstimator(TimeSource time) {
        mTime = time;
        mTimes = new ServiceTimes(time, WINDOW, MIN_SAMPLES);
        mProbedNanos = time.nanoTime();
    }

    void record(Duration latency) {
        mTimes.record(latency);
    }

    /** Returns the time left to a call, in nanoseconds. */
    long remainingNanos(AdmissionRequest request) {
        long deadline = request.deadlineNanos();
        return deadline == Long.MAX_VALUE ? deadline : deadline - mTime.nanoTime();
    }

    /** Tells whether a call cannot end in time even if it runs at once and is answered quickly. */
    boolean isInfeasible(AdmissionRequest request) {
        return remainingNanos(request) < nanos(OPTIMISTIC);
    }

    /**
     * Tells whether a call is likely to end late after the given number of calls ahead of it. Used
     * while others wait, who make better use of the upstream.
     */
    boolean isLikelyLate(AdmissionRequest request, int ahead, int limit) {
        long wait = ahead * nanos(TYPICAL) / limit;
        return remainingNanos(request) < wait + nanos(CAUTIOUS);
    }

    /**
     * Tells whether a seemingly hopeless call may run all the same, so that the estimate is tried
     * now and then.
     */
    boolean tryProbe() {
        if (mTime.since(mProbedNanos).compareTo(PROBE_INTERVAL) < 0) {
            return false;
        }
        mProbedNanos = mTime.nanoTime();
        return true;
    }

    /** Returns the time after which a waiting call becomes hopeless. */
    Duration timeUntilInfeasible(AdmissionRequest request) {
        return Duration.ofNanos(remainingNanos(request) - nanos(OPTIMISTIC));
    }

    /** Returns when the given number of waiting calls will have been admitted. */
    Duration retryAfter(int waiting, int limit) {
        Optional<Duration> typical = mTimes.quantile(TYPICAL);
        if (typical.isEmpty()) {
            return UNKNOWN_RETRY_AFTER;
        }
        Duration wait = typical.get().multipliedBy(waiting + 1L).dividedBy(limit);
        if (wait.compareTo(MIN_RETRY_AFTER) < 0) {
            return MIN_RETRY_AFTER;
        }
        return wait.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : wait;
    }

    private long nanos(double quantile) {
        return mTimes.quantile(quantile).map(Duration::toNanos).orElse(0L);
    }
}
