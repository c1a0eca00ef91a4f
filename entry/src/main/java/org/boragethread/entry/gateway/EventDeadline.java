package org.boragethread.entry.gateway;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.boragethread.core.time.TimeSource;
import org.boragethread.core.upstream.ResponseTimeModel;
import org.boragethread.model.routing.Route;

/**
 * The time by which the caller of a stream must receive the next event, as it gives up after a gap.
 * Work that ends later is useless.
 */
final class EventDeadline {

    /** Shortest gap after which a caller gives up. */
    private static final Duration MIN_GAP = Duration.ofSeconds(2);

    private static final int TARGET_LATENCIES = 4;
    private static final int TARGET_GAPS = 8;

    private final SchedulingSettings mScheduling;
    private final TimeSource mTime;
    private final long mArrivedAt;
    private final Supplier<OptionalLong> mLastEventAt;

    /**
     * Creates the deadline of one request.
     *
     * @param arrivedAt monotonic time at which the request arrived
     * @param lastEventAt monotonic time at which an event was last forwarded, if any was
     */
    EventDeadline(
            SchedulingSettings scheduling,
            TimeSource time,
            long arrivedAt,
            Supplier<OptionalLong> lastEventAt) {
        mScheduling = scheduling;
        mTime = time;
        mArrivedAt = arrivedAt;
        mLastEventAt = lastEventAt;
    }

    /** Returns the gap without an event after which the caller of a stream gives up. */
    static Duration gapLimit(Route route) {
        long latency = route.targetLatency().toNanos() * TARGET_LATENCIES;
        long gap = route.targetGap().toNanos() * TARGET_GAPS;
        return Duration.ofNanos(Math.max(MIN_GAP.toNanos(), Math.max(latency, gap)));
    }

    /**
     * Returns the monotonic time after which no work on the request is of use: the deadline, or the
     * end of the gap that the caller accepts if that is earlier.
     */
    long nanos(AdmittedRequest admitted) {
        return Math.min(admitted.deadlineNanos(), gapEnd(admitted));
    }

    /** Returns the time in which the work before the response has to end. */
    Duration timeLeft(AdmittedRequest admitted, ResponseTimeModel responseTimes) {
        long gapEnd = gapEnd(admitted);
        long latest =
                gapEnd == Long.MAX_VALUE
                        ? admitted.deadlineNanos()
                        : Math.min(
                                admitted.deadlineNanos(),
                                gapEnd - admitted.expectedResponseNanos(responseTimes));
        return Duration.ofNanos(Math.max(0, latest - mTime.nanoTime()));
    }

    private long gapEnd(AdmittedRequest admitted) {
        if (!admitted.isStreaming() || !mScheduling.isShared()) {
            return Long.MAX_VALUE;
        }
        long since = mLastEventAt.get().orElse(mArrivedAt);
        return since + gapLimit(admitted.route()).toNanos();
    }
}
