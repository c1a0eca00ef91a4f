package org.boragethread.entry.gateway;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.time.TimeSource;
import org.boragethread.core.upstream.ChoiceRequest;
import org.boragethread.core.upstream.UpstreamChooser;

/** Decides how long a request waits for an upstream while none may be called. */
final class UpstreamSearch {

    /** Interval between searches for an available upstream. */
    static final Duration INTERVAL = Duration.ofMillis(40);

    /** Longest search for an upstream if all are cold; a third of it if there is none at all. */
    private static final Duration MAX_TIME = Duration.ofMillis(900);

    private final UpstreamChooser mChooser;
    private final TimeSource mTime;
    private long mStartNanos = -1;

    UpstreamSearch(UpstreamChooser chooser, TimeSource time) {
        mChooser = chooser;
        mTime = time;
    }

    /**
     * The request cannot be served in time.
     *
     * @param retryAfter delay after which an upstream may be available
     */
    record Failure(String detail, Duration retryAfter) {}

    /** Forgets the present search, because an upstream was found. */
    void reset() {
        mStartNanos = -1;
    }

    /**
     * Returns the delay before the next search, or why there is none.
     *
     * @param remaining time until the deadline of the request
     * @param priority priority of the request; more urgent ones return first after a pause
     * @param jitter number from 0 to 1 that spreads requests of one priority
     */
    Either<Failure, Duration> next(
            ChoiceRequest choice, Duration remaining, int priority, double jitter) {
        String group = "group " + choice.group().id();
        if (mChooser.isGroupExhausted(choice)) {
            return Either.left(
                    new Failure(
                            "all upstreams of " + group + " leave or have failed",
                            RetryDelays.SHORT));
        }
        Optional<Duration> pause = mChooser.remainingPause(choice);
        if (pause.isPresent()) {
            Duration delay = RetryDelays.afterPause(pause.get(), priority, jitter);
            Duration response = Duration.ofMillis((long) choice.times().expectedMillis(0));
            return delay.plus(response).compareTo(remaining) > 0
                    ? Either.left(new Failure("all upstreams of " + group + " pause", delay))
                    : Either.right(delay);
        }
        long now = mTime.nanoTime();
        if (mStartNanos < 0) {
            mStartNanos = now;
        }
        boolean any = mChooser.hasCandidate(choice);
        long limit = any ? MAX_TIME.toNanos() : MAX_TIME.toNanos() / 3;
        if (now - mStartNanos > Math.min(limit, remaining.toNanos() / 3)) {
            String detail = any ? "all upstreams are cold" : "no upstream of " + group;
            return Either.left(new Failure(detail, RetryDelays.SHORT));
        }
        return Either.right(INTERVAL);
    }

    /** Returns the delay after which a caller whose request was rejected may repeat it. */
    Duration retryAfter(ChoiceRequest choice, int priority, double jitter) {
        return mChooser.remainingPause(choice)
                .map(pause -> RetryDelays.afterPause(pause, priority, jitter))
                .orElse(RetryDelays.SHORT);
    }

    /** Returns whether the pause of all upstreams, if they pause, ends in time for the request. */
    boolean isPauseShort(ChoiceRequest choice, Duration remaining) {
        return mChooser.remainingPause(choice)
                .filter(pause -> pause.compareTo(remaining) < 0)
                .isPresent();
    }
}
