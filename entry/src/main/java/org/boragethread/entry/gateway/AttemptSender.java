package org.boragethread.entry.gateway;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.rollout.SendKind;
import org.boragethread.core.rollout.VersionRule;
import org.boragethread.core.upstream.ChoiceRequest;
import org.boragethread.core.upstream.ResponseTimeModel;
import org.boragethread.core.upstream.UpstreamNode;

/** Creates and sends the attempts of one request. */
final class AttemptSender {

    /** Time after the caller's deadline in which a finished response may still be forwarded. */
    private static final Duration DEADLINE_SLACK = Duration.ofMillis(40);

    private final Gateway mGateway;
    private final RequestParts mParts;

    AttemptSender(Gateway gateway, RequestParts parts) {
        mGateway = gateway;
        mParts = parts;
    }

    /** Returns the time until the deadline of the request; zero after it. */
    Duration remaining() {
        long nanos = mParts.admitted().deadlineNanos() - mGateway.time().nanoTime();
        return Duration.ofNanos(Math.max(0, nanos));
    }

    /** Returns the time in which a response may still be forwarded. */
    Duration timeToForward() {
        return mParts.admitted().isRouteTimeout() ? remaining() : remaining().plus(DEADLINE_SLACK);
    }

    /** Creates an attempt that has not started. */
    UpstreamAttempt create(UpstreamNode node, AttemptListener listener) {
        long uncachedTokens = mParts.selection().uncachedTokens(node);
        return new UpstreamAttempt(
                node,
                mGateway,
                mParts.prompt().suspects(),
                mParts.admitted().isStreaming(),
                listener,
                mGateway.time().nanoTime(),
                uncachedTokens,
                responseTimes().prefillMillis(uncachedTokens));
    }

    private ResponseTimeModel responseTimes() {
        return mParts.feedback().responseTimes();
    }

    /**
     * Chooses an upstream and counts the send to it, which follows at once. A request that is one
     * of a trial's share goes to the version on trial if an upstream is available there.
     */
    Optional<UpstreamNode> choose(ChoiceRequest choice) {
        VersionRule trial =
                mParts.counts().sends() == 0
                        ? mGateway.rollouts().rule(mParts.group().id(), route(), SendKind.FIRST)
                        : VersionRule.ANY;
        Optional<UpstreamNode> node =
                trial.isTrial()
                        ? mGateway.chooser().choose(choice, trial)
                        : mGateway.chooser().choose(choice);
        return node.filter(this::tryCount);
    }

    private String route() {
        return mParts.admitted().route().label();
    }

    /**
     * Counts a send to an upstream for the roll-out of the group, just before the attempt is
     * created.
     *
     * @return whether the request may be sent there
     */
    boolean tryCount(UpstreamNode node) {
        SendKind kind = mParts.counts().sends() == 0 ? SendKind.FIRST : SendKind.FURTHER;
        return mGateway.rollouts().trySend(mParts.group().id(), route(), kind, node);
    }

    /**
     * Counts an attempt and sends it.
     *
     * @param lastEvent event after which the upstream continues the stream, if it does
     */
    void send(UpstreamAttempt attempt, Optional<String> lastEvent) {
        UpstreamNode node = attempt.node();
        AdmittedRequest admitted = mParts.admitted();
        AttemptCounts counts = mParts.counts();
        if (counts.sends() == 0) {
            mGateway.retryBudget(mParts.group().id()).recordFirstCall();
        }
        counts.onSent();
        mParts.selection().onSending(attempt);
        mParts.prompt().onSent();
        double prefillMillis = responseTimes().prefillMillis(attempt.uncachedTokens());
        admitted.countPrompt(node, mParts.group(), prefillMillis);
        mParts.trace().sent(node, counts.sends(), remaining(), lastEvent);
        attempt.start(
                mGateway.connections(),
                OutgoingRequest.of(mParts.request(), admitted, node, remaining())
                        .withInputs(mParts.stages().resultHandles(), admitted.pieceCount() > 0)
                        .resumeAfter(lastEvent)
                        .afterRejection(counts.wasRejectedAt(node.entry().address()))
                        .toHttpCall(),
                mGateway.rollouts().begin(mParts.group().id(), route(), node));
    }
}
