package org.boragethread.entry.gateway;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.retry.SharedRetryBudget;
import org.boragethread.core.upstream.ChoiceRequest;
import org.boragethread.core.upstream.UpstreamNode;

/** Decides whether a request is sent again after an attempt that has ended, and logs why not. */
final class RetryPermit {

    private final Gateway mGateway;
    private final RequestParts mParts;
    private final UpstreamSearch mSearch;
    private final AttemptSender mSender;

    /**
     * Why a request is not sent again, and what else was there at that moment.
     *
     * @param reason why it should have been sent again
     * @param cause what was missing
     * @param attemptsLeft number of further upstreams that may run it
     * @param retriesLeft permits of the retry budget
     * @param remaining time until the deadline
     */
    record Denial(
            String reason, String cause, int attemptsLeft, long retriesLeft, Duration remaining) {}

    RetryPermit(Gateway gateway, RequestParts parts, UpstreamSearch search, AttemptSender sender) {
        mGateway = gateway;
        mParts = parts;
        mSearch = search;
        mSender = sender;
    }

    /** Takes a permit to repeat an attempt that did not run. */
    boolean tryAfterRejection(String reason) {
        return take(reason, findObstacle());
    }

    /** Takes a permit to repeat an attempt that ran or may have run. */
    boolean tryAfterExecution(String reason) {
        return take(reason, findObstacleToRerun().or(this::findObstacle));
    }

    /** Takes a permit to continue a stream of which a part was forwarded. */
    boolean tryResume() {
        return take(
                "resume",
                findObstacleToResume().or(this::findObstacleToRerun).or(this::findObstacle));
    }

    /** Returns whether the route, the deadline and the prompt allow a further execution. */
    boolean isRerunAllowed() {
        return findObstacleToRerun().isEmpty() && !isDeadlineNear();
    }

    boolean isDeadlineNear() {
        return mSender.remaining().compareTo(UpstreamSearch.INTERVAL) < 0;
    }

    /**
     * Invokes a callback when an upstream may continue the stream that another one has broken off,
     * or none will soon.
     */
    void awaitUpstream(UpstreamNode broken, Runnable callback) {
        mParts.versions()
                .await(VersionWait.Cause.NO_UPSTREAM, broken, this::isUpstreamPending, callback);
    }

    private boolean isUpstreamPending() {
        ChoiceRequest choice = mParts.placement().choiceRequest();
        return isRerunAllowed()
                && findObstacleToResume().isEmpty()
                && mParts.continuation().isFixed()
                && !mGateway.chooser().hasCandidate(choice)
                && mGateway.chooser().hasDoubtfulCandidate(choice);
    }

    private boolean take(String reason, Optional<String> obstacle) {
        SharedRetryBudget budget = mGateway.retryBudget(mParts.group().id());
        Optional<String> cause = obstacle;
        if (cause.isEmpty() && !budget.tryAcquire()) {
            cause = Optional.of("budget");
        }
        if (cause.isPresent()) {
            mParts.trace()
                    .retryDenied(
                            new Denial(
                                    reason,
                                    cause.get(),
                                    attemptsLeft(),
                                    budget.available(),
                                    mSender.remaining()));
            return false;
        }
        mParts.trace().retried(reason, mParts.counts().sends(), mSender.remaining());
        return true;
    }

    private int attemptsLeft() {
        return mParts.admitted().route().maxAttempts() - mParts.counts().executions();
    }

    private Optional<String> findObstacleToResume() {
        if (!mParts.stream().canResume()) {
            return Optional.of("not-resumable");
        }
        return mParts.continuation().canGoOn() ? Optional.empty() : Optional.of("version");
    }

    private Optional<String> findObstacleToRerun() {
        if (!mParts.admitted().route().isIdempotent()) {
            return Optional.of("not-idempotent");
        }
        if (attemptsLeft() < 1) {
            return Optional.of("attempts");
        }
        return mParts.prompt().isSuspect() ? Optional.of("suspect") : Optional.empty();
    }

    private Optional<String> findObstacle() {
        if (isDeadlineNear()) {
            return Optional.of("time");
        }
        ChoiceRequest choice = mParts.placement().choiceRequest();
        boolean possible =
                mGateway.chooser().hasCandidate(choice)
                        || mGateway.chooser().hasDoubtfulCandidate(choice)
                        || mSearch.isPauseShort(choice, mSender.remaining());
        return possible ? Optional.empty() : Optional.of("no-upstream");
    }
}
