package org.boragethread.entry.gateway;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.entry.placement.ReportedDelay;

/** Delays after which callers may repeat requests that were refused. */
final class RetryDelays {

    /** Delay after a refusal whose cause may pass at any time. */
    static final Duration SHORT = Duration.ofMillis(300);

    /** Time in which the backlog after a burst of a few seconds shrinks by half. */
    private static final Duration BACKLOG = Duration.ofSeconds(2);

    /** Distance between the returns of two priorities after a pause. */
    private static final Duration PRIORITY_STEP = Duration.ofMillis(20);

    /** Time over which the returns of requests that were rejected together are spread. */
    private static final Duration REJECTION_SPREAD = Duration.ofSeconds(1);

    private RetryDelays() {}

    /**
     * Returns the delay for a request whose upstreams all accept no calls for a time. More urgent
     * requests return first, and those of one priority at different moments.
     *
     * @param priority priority of the request, 0 for the most urgent
     * @param jitter number from 0 to 1
     */
    static Duration afterPause(Duration pause, int priority, double jitter) {
        return pause.plusNanos((long) (PRIORITY_STEP.toNanos() * (priority + jitter)));
    }

    /**
     * Returns the delay for a request that a coordinator rejected for lack of capacity. Requests
     * that are rejected together return at different moments.
     *
     * @param delay expected time until there is capacity; of a longer one a minute counts, also if
     *     this entry is the coordinator
     * @param jitter number from 0 to 1
     */
    static Duration afterRejection(Duration delay, double jitter) {
        Duration least = delay.compareTo(SHORT) < 0 ? SHORT : delay;
        Duration bounded = least.compareTo(ReportedDelay.MAX) > 0 ? ReportedDelay.MAX : least;
        return bounded.plusNanos((long) (REJECTION_SPREAD.toNanos() * jitter));
    }

    /**
     * Returns the delay for a request whose stages cannot end in time.
     *
     * @param isShared whether entries share the upstreams, so that the time that stages take is
     *     that of the load of all entries
     * @param rejection expected time until there is capacity, if a coordinator rejected a stage
     * @param remaining time until the caller's deadline
     * @param stageTime time that the stages currently take
     * @param jitter number from 0 to 1
     */
    static Duration afterStages(
            boolean isShared,
            Optional<Duration> rejection,
            Duration remaining,
            Duration stageTime,
            double jitter) {
        return rejection
                .or(() -> isShared ? Optional.of(atLeastBacklog(stageTime)) : Optional.empty())
                .map(delay -> afterRejection(delay, jitter))
                .orElseGet(() -> afterBacklog(remaining, stageTime));
    }

    /** While no stage completes, the time that stages take is that of their calls alone. */
    private static Duration atLeastBacklog(Duration stageTime) {
        return stageTime.compareTo(BACKLOG) < 0 ? BACKLOG : stageTime;
    }

    /**
     * Returns the delay for a request whose stages cannot finish in time. A retry with too little
     * time left would be refused again, so it is then delayed until after the deadline.
     *
     * @param remaining time until the caller's deadline
     * @param stageTime time that the stages currently take
     */
    private static Duration afterBacklog(Duration remaining, Duration stageTime) {
        Duration needed = BACKLOG.plus(stageTime).plus(SHORT);
        Duration afterDeadline = remaining.plus(SHORT);
        boolean enough = remaining.compareTo(needed) >= 0;
        return enough || afterDeadline.compareTo(BACKLOG) < 0 ? BACKLOG : afterDeadline;
    }
}
