package org.boragethread.entry.gateway;

import org.boragethread.core.upstream.ChoiceRequest;
import org.boragethread.core.upstream.UpstreamChooser;
import org.boragethread.core.upstream.UpstreamNode;

/** Decides whether one request may be sent to one more upstream. */
final class RetryDecision {

    private final Gateway mGateway;
    private final RequestParts mParts;
    private final AttemptSender mSender;
    private final UpstreamSearch mSearch;

    RetryDecision(
            Gateway gateway, RequestParts parts, AttemptSender sender, UpstreamSearch search) {
        mGateway = gateway;
        mParts = parts;
        mSender = sender;
        mSearch = search;
    }

    /** Returns whether the route, the deadline and the prompt allow a further execution. */
    boolean isAllowed() {
        return mParts.admitted().route().isIdempotent()
                && mParts.counts().executions() < mParts.admitted().route().maxAttempts()
                && !isDeadlineNear()
                && !mParts.prompt().isSuspect();
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
        return isAllowed()
                && mParts.stream().canResume()
                && mParts.continuation().isFixed()
                && mParts.continuation().canGoOn()
                && !mGateway.chooser().hasCandidate(choice)
                && mGateway.chooser().hasDoubtfulCandidate(choice);
    }

    /** Takes a permit of the retry budget; returns whether the request may be sent again. */
    boolean tryAcquire(String reason) {
        UpstreamChooser chooser = mGateway.chooser();
        ChoiceRequest choice = mParts.placement().choiceRequest();
        boolean possible =
                chooser.hasCandidate(choice)
                        || chooser.hasDoubtfulCandidate(choice)
                        || mSearch.isPauseShort(choice, mSender.remaining());
        if (isDeadlineNear() || !possible) {
            return false;
        }
        if (!mGateway.retryBudget(mParts.group().id()).tryAcquire()) {
            mParts.trace().retryDenied(reason);
            return false;
        }
        mParts.trace().retried(reason, mParts.counts().sends(), mSender.remaining());
        return true;
    }
}
