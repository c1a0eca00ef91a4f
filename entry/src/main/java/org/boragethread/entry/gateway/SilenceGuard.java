package org.boragethread.entry.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.boragethread.core.retry.SharedRetryBudget;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.routing.Route;

/**
 * Watches the upstream that responds to a request. While it is silent, another one is called beside
 * it, and the first of both that makes progress goes on with the response. An upstream is not given
 * up for its silence alone.
 */
final class SilenceGuard implements StandbyAttempt.Owner {

    /** Bounds the doubling of the timeout while no other upstream may be called. */
    private static final int MAX_DOUBLINGS = 4;

    private final Gateway mGateway;
    private final RequestParts mParts;
    private final AttemptSender mSender;
    private final Response mResponse;
    private final StallWatch mWatch;
    private Optional<StandbyAttempt> mStandby = Optional.empty();
    private Duration mTimeout = Duration.ZERO;
    private long mProgressAt;
    private int mDoublings;
    private boolean mReading = true;

    /** The response that an attempt writes. */
    interface Response extends AttemptListener {

        /** Returns the attempt that writes the response. */
        UpstreamAttempt attempt();

        /** Another attempt writes the response from now on. */
        void onTakenOver(UpstreamAttempt attempt);
    }

    SilenceGuard(Gateway gateway, RequestParts parts, AttemptSender sender, Response response) {
        mGateway = gateway;
        mParts = parts;
        mSender = sender;
        mResponse = response;
        mWatch = new StallWatch(gateway.scheduler(), gateway.time());
    }

    /** Called when an attempt was sent or a part of its body has arrived. */
    void onActivity() {
        if (!route().isIdempotent() || !mResponse.attempt().hasProgressed()) {
            return;
        }
        if (mStandby.isPresent()) {
            withdraw("withdrawn");
        }
        mDoublings = 0;
        mProgressAt = mGateway.time().nanoTime();
        startWatch();
    }

    /** Called when reading from the upstream pauses, because the caller is slow, or resumes. */
    void onReading(boolean reading) {
        if (mReading == reading) {
            return;
        }
        mReading = reading;
        if (!reading) {
            mWatch.stop();
        } else if (route().isIdempotent()) {
            mProgressAt = mGateway.time().nanoTime();
            startWatch();
        }
    }

    /**
     * Lets the second attempt, if there is one, go on in place of one that has ended; returns
     * whether it does.
     */
    boolean takeOver() {
        if (mStandby.isEmpty()) {
            return false;
        }
        if (!continuesResponse(mStandby.get()) || !mParts.continuation().canGoOn()) {
            withdraw("not-usable");
            return false;
        }
        replace("taken-over");
        return true;
    }

    /** Ends the watch and the second attempt. */
    void stop() {
        mWatch.stop();
        if (mStandby.isPresent()) {
            withdraw("withdrawn");
        }
    }

    private Route route() {
        return mParts.admitted().route();
    }

    private void startWatch() {
        UpstreamAttempt attempt = mResponse.attempt();
        if (mReading && attempt.isActive()) {
            mTimeout = timeout().multipliedBy(1L << mDoublings);
            mWatch.start(attempt::isActive, mTimeout, this::onStall);
        }
    }

    private Duration timeout() {
        if (mStandby.isPresent()) {
            return firstResponseTimeout(mStandby.get().attempt());
        }
        return mParts.stream().isStarted()
                ? StallTimeouts.betweenEvents(route())
                : firstResponseTimeout(mResponse.attempt());
    }

    private Duration firstResponseTimeout(UpstreamAttempt attempt) {
        return StallTimeouts.first(
                route(), attempt.uncachedTokens(), mParts.feedback().responseTimes());
    }

    private void onStall() {
        UpstreamAttempt silent = mResponse.attempt();
        List<UpstreamNode> inUse = new ArrayList<>(List.of(silent.node()));
        mStandby.ifPresent(standby -> inUse.add(standby.attempt().node()));
        Optional<UpstreamNode> next =
                mGateway.chooser().choose(mParts.placement().choiceWithout(inUse));
        SharedRetryBudget budget = mGateway.retryBudget(mParts.group().id());
        long retriesLeft = budget.available();
        Optional<String> keptBecause = findReasonToKeep(silent, next);
        if (keptBecause.isEmpty() && !budget.tryAcquire()) {
            keptBecause = Optional.of("budget");
        }
        if (keptBecause.isEmpty() && !mSender.tryCount(next.orElseThrow())) {
            keptBecause = Optional.of("rollout");
        }
        mParts.trace()
                .stalled(
                        new StallDecision(
                                silent.node(),
                                mGateway.time().since(mProgressAt),
                                mTimeout,
                                mParts.stream().isStarted(),
                                attemptsLeft(),
                                retriesLeft,
                                next.isPresent(),
                                mSender.remaining(),
                                keptBecause));
        if (keptBecause.isEmpty()) {
            startStandby(next.orElseThrow());
        } else {
            mDoublings = Math.min(mDoublings + 1, MAX_DOUBLINGS);
        }
        startWatch();
    }

    /** Returns the number of further upstreams to which the request may be sent. */
    private int attemptsLeft() {
        int active = mStandby.isPresent() ? 2 : 1;
        return route().maxAttempts() - mParts.counts().executions() - active;
    }

    /** Returns why no second attempt may start, apart from the retry budget. */
    private Optional<String> findReasonToKeep(UpstreamAttempt silent, Optional<UpstreamNode> next) {
        boolean begun = mParts.stream().isStarted();
        if (begun && !mParts.stream().canResume()) {
            return Optional.of("not-resumable");
        }
        if (begun && mParts.admitted().pieceCount() > 0) {
            return Optional.of("inputs-released");
        }
        if (!mParts.continuation().isSettled()
                || !mParts.continuation().canGoOn()
                || !isOfStreamVersion(silent)
                || silent.isHeld()
                || mStandby.filter(standby -> standby.attempt().isHeld()).isPresent()) {
            return Optional.of("version");
        }
        if (attemptsLeft() < 1 || !mParts.counts().maySendSecond()) {
            return Optional.of("attempts");
        }
        if (mParts.prompt().isSuspect() || mParts.prompt().isBlocked()) {
            return Optional.of("suspect");
        }
        if (mSender.remaining().compareTo(firstResponseTimeout(silent)) <= 0) {
            return Optional.of("time");
        }
        return next.isEmpty() ? Optional.of("no-upstream") : Optional.empty();
    }

    /** Returns whether what an attempt has forwarded, if anything, may be continued. */
    private boolean isOfStreamVersion(UpstreamAttempt attempt) {
        return !attempt.isForwarding() || mParts.continuation().accepts(attempt.softwareVersion());
    }

    private void startStandby(UpstreamNode node) {
        if (mStandby.isPresent()) {
            mParts.placement().exclude(mStandby.get().attempt().node());
            mStandby.get().attempt().giveUp();
            withdraw("silent");
        }
        Optional<String> lastEvent = mParts.stream().lastEventId();
        StandbyAttempt standby = new StandbyAttempt(node, mSender, this, mResponse, lastEvent);
        mStandby = Optional.of(standby);
        mParts.trace().retried("silent", mParts.counts().sends(), mSender.remaining());
        mSender.send(standby.attempt(), lastEvent);
    }

    @Override
    public void onStandbyHead() {
        if (mResponse.attempt().isBuffering()) {
            startWatch();
        } else {
            onStandbyResponds();
        }
    }

    @Override
    public void onStandbyResponds() {
        StandbyAttempt standby = mStandby.orElseThrow();
        UpstreamAttempt responding = standby.attempt();
        if (!responding.isActive() || !mayGoOn(standby)) {
            decide(standby);
            return;
        }
        mParts.versions()
                .hold(
                        VersionWait.Cause.SECOND_RESPONDS,
                        responding,
                        () -> onVersionDecided(standby));
    }

    private void onVersionDecided(StandbyAttempt standby) {
        if (mStandby.filter(standby::equals).isPresent()) {
            decide(standby);
        }
        standby.attempt().release();
    }

    private boolean mayGoOn(StandbyAttempt standby) {
        return mReading
                && continuesResponse(standby)
                && isAcceptable(standby.attempt())
                && isOfStreamVersion(mResponse.attempt());
    }

    private void decide(StandbyAttempt standby) {
        boolean isUsable =
                mayGoOn(standby)
                        && mParts.continuation().accepts(standby.attempt().softwareVersion());
        if (!isUsable) {
            mParts.placement().exclude(standby.attempt().node());
            withdraw("not-usable");
            startWatch();
            return;
        }
        UpstreamAttempt silent = mResponse.attempt();
        if (silent.isActive()) {
            giveUp(silent);
        }
        if (silent.isForwarding()) {
            mParts.continuation().onInterrupted(silent.softwareVersion());
        }
        replace("moved");
    }

    private void giveUp(UpstreamAttempt silent) {
        silent.giveUp();
        mParts.trace()
                .responseBroken(
                        silent.node(),
                        "another upstream responded during the silence",
                        silent.progress(),
                        mParts.stream().lastEventId());
        mParts.feedback().onFailure(silent.node());
        mParts.placement().exclude(silent.node());
        mParts.counts().onExecuted();
    }

    /** Returns whether the response of an attempt may follow what the caller has received. */
    private boolean continuesResponse(StandbyAttempt standby) {
        ForwardedStream stream = mParts.stream();
        return !stream.isStarted()
                || stream.canResume() && stream.lastEventId().equals(standby.lastEvent());
    }

    /** Returns whether a response that has begun to arrive is one that the caller can receive. */
    private boolean isAcceptable(UpstreamAttempt responding) {
        return !mParts.stream().isStarted() || responding.isEventStream();
    }

    private void replace(String outcome) {
        StandbyAttempt standby = mStandby.orElseThrow();
        mStandby = Optional.empty();
        mParts.trace().standbyEnded(standby.attempt().node(), outcome, mSender.remaining());
        if (mParts.stream().isStarted()) {
            mParts.stream().prepareResume();
        }
        standby.takeOver();
        mReading = true;
        mResponse.onTakenOver(standby.attempt());
        onActivity();
    }

    private void withdraw(String outcome) {
        UpstreamAttempt attempt = mStandby.orElseThrow().attempt();
        mStandby = Optional.empty();
        attempt.cancel();
        mParts.counts().onExecuted();
        mParts.trace().standbyEnded(attempt.node(), outcome, mSender.remaining());
    }

    @Override
    public void onStandbyRejected(int status) {
        UpstreamNode node = mStandby.orElseThrow().attempt().node();
        mParts.feedback().onRejected(node, status);
        if (!node.isPaused(mGateway.time().nanoTime())) {
            mParts.placement().exclude(node);
        }
        mParts.counts().onRejected(node.entry().address());
        endStandby(node, "rejected");
    }

    @Override
    public void onStandbyNotSent(UnsentAttempt unsent) {
        UpstreamNode node = mStandby.orElseThrow().attempt().node();
        mParts.feedback().onNotSent(node, unsent);
        mParts.placement().exclude(node);
        mParts.counts().onSecondNotSent(unsent);
        if (unsent.refused()) {
            mGateway.retryBudget(mParts.group().id()).release(unsent.startedAt());
        }
        endStandby(node, "unreachable");
    }

    @Override
    public void onStandbyFailed() {
        UpstreamNode node = mStandby.orElseThrow().attempt().node();
        mParts.feedback().onFailure(node);
        mParts.placement().exclude(node);
        mParts.counts().onExecuted();
        endStandby(node, "failed");
    }

    private void endStandby(UpstreamNode node, String outcome) {
        mStandby = Optional.empty();
        mParts.trace().standbyEnded(node, outcome, mSender.remaining());
        startWatch();
    }
}
