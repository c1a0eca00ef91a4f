package org.boragethread.entry.gateway;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.time.TimeSource;
import org.boragethread.core.upstream.ChoiceRequest;
import org.boragethread.core.upstream.RateLimitDelay;
import org.boragethread.core.upstream.UpstreamChooser;
import org.boragethread.model.outcome.RefusalReason;

/** Decides how long a request waits for an upstream while none may be called. */
final class UpstreamSearch {

    /** Interval between searches for an available upstream. */
    static final Duration INTERVAL = Duration.ofMillis(40);

    /** Longest search for an upstream if all are cold; a third of it if there is none at all. */
    private static final Duration MAX_TIME = Duration.ofMillis(900);

    /** Shortest wait for the turn of a request; another one may have been faster. */
    private static final Duration MIN_WAIT = Duration.ofMillis(1);

    private final UpstreamChooser mChooser;
    private final TimeSource mTime;
    private long mStartNanos = -1;
    private RateLimitQueue mQueue = new RateLimitQueue();
    private int mPriority;
    private Optional<RateLimitQueue.Ticket> mTicket = Optional.empty();

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

    /**
     * Starts to search for a request.
     *
     * @param queue where requests of the group wait while its upstreams name limits
     * @param priority priority of the request, 0 for the most urgent
     */
    void start(RateLimitQueue queue, int priority) {
        mQueue = queue;
        mPriority = priority;
    }

    /** Forgets the present search, because an upstream was found or the request has ended. */
    void reset() {
        mStartNanos = -1;
        mTicket.ifPresent(mQueue::remove);
        mTicket = Optional.empty();
    }

    /**
     * Returns the delay before the next search, or why there is none.
     *
     * @param remaining time until the deadline of the request
     * @param jitter number from 0 to 1 that spreads requests of one priority after a pause
     */
    Either<Failure, Duration> next(ChoiceRequest choice, Duration remaining, double jitter) {
        String group = "group " + choice.group().id();
        if (choice.versions().isRefused()) {
            return Either.left(
                    new Failure(
                            "it is not known which version of " + group + " is in use",
                            RetryDelays.SHORT));
        }
        if (mChooser.isGroupExhausted(choice)) {
            return Either.left(
                    new Failure(
                            "all upstreams of " + group + " leave or have failed",
                            RetryDelays.SHORT));
        }
        Optional<Failure> hopeless = findHopelessLimit(choice, remaining);
        if (hopeless.isPresent()) {
            return Either.left(hopeless.get());
        }
        Optional<Duration> pause = mChooser.remainingPause(choice);
        if (pause.isPresent()) {
            Duration delay = RetryDelays.afterPause(pause.get(), mPriority, jitter);
            return isTooLate(delay, choice, remaining)
                    ? Either.left(new Failure("all upstreams of " + group + " pause", delay))
                    : Either.right(delay);
        }
        Optional<Duration> turn = mChooser.rateLimitDelay(choice).flatMap(this::waitInQueue);
        if (turn.isPresent()) {
            return Either.right(turn.get());
        }
        long now = mTime.nanoTime();
        if (mStartNanos < 0) {
            mStartNanos = now;
        }
        boolean any = mChooser.hasCandidate(choice);
        long limit = any ? MAX_TIME.toNanos() : MAX_TIME.toNanos() / 3;
        if (now - mStartNanos > Math.min(limit, remaining.toNanos() / 3)
                && !isVersionPending(choice, any, now)) {
            String detail = any ? "all upstreams are cold" : "no upstream of " + group;
            return Either.left(new Failure(detail, RetryDelays.SHORT));
        }
        return Either.right(INTERVAL);
    }

    private boolean isVersionPending(ChoiceRequest choice, boolean any, long now) {
        return !any
                && now - mStartNanos < VersionWait.MAX_TIME.toNanos()
                && mChooser.hasDoubtfulCandidate(choice);
    }

    /** Ends the request and returns true if the limits of the upstreams leave it no time. */
    boolean isRefused(ChoiceRequest choice, Duration remaining, RequestEnd end) {
        Optional<Failure> hopeless = findHopelessLimit(choice, remaining);
        hopeless.ifPresent(
                failure ->
                        end.fail(
                                RefusalReason.NO_UPSTREAM, failure.detail(), failure.retryAfter()));
        return hopeless.isPresent();
    }

    /**
     * Returns why the request cannot be served in time if all upstreams of the group name limits
     * and this process's share is too small. The caller may find another entry with a share, so it
     * is told when the upstreams accept the next call of any.
     */
    private Optional<Failure> findHopelessLimit(ChoiceRequest choice, Duration remaining) {
        Optional<RateLimitDelay> delay = mChooser.rateLimitDelay(choice);
        if (delay.isEmpty()) {
            return Optional.empty();
        }
        Optional<Duration> turn = delay.get().untilCall(ahead());
        if (turn.isPresent() && !isTooLate(turn.get(), choice, remaining)) {
            return Optional.empty();
        }
        String detail =
                "all upstreams of group %s limit requests, together to %.1f a second"
                        .formatted(choice.group().id(), delay.get().limit());
        Duration wait = turn.orElse(delay.get().interval());
        return Optional.of(new Failure(detail, max(wait, RetryDelays.SHORT)));
    }

    private static boolean isTooLate(Duration delay, ChoiceRequest choice, Duration remaining) {
        Duration response = Duration.ofMillis((long) choice.times().expectedMillis(0));
        return delay.plus(response).compareTo(remaining) > 0;
    }

    private int ahead() {
        return mTicket.map(mQueue::ahead).orElseGet(() -> mQueue.ahead(mPriority));
    }

    /** Puts the request into the queue and returns the time until its turn. */
    private Optional<Duration> waitInQueue(RateLimitDelay delay) {
        if (mTicket.isEmpty()) {
            mTicket = Optional.of(mQueue.add(mPriority));
        }
        return delay.untilCall(ahead()).map(turn -> max(turn, MIN_WAIT));
    }

    private static Duration max(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    /** Returns the delay after which a caller whose request was rejected may repeat it. */
    Duration retryAfter(ChoiceRequest choice, double jitter) {
        return mChooser.remainingPause(choice)
                .map(pause -> RetryDelays.afterPause(pause, mPriority, jitter))
                .orElse(RetryDelays.SHORT);
    }

    /** Returns whether the pause of all upstreams, if they pause, ends in time for the request. */
    boolean isPauseShort(ChoiceRequest choice, Duration remaining) {
        return mChooser.remainingPause(choice)
                .filter(pause -> pause.compareTo(remaining) < 0)
                .isPresent();
    }
}
