package org.boragethread.entry.gateway;

import io.netty.buffer.ByteBuf;
import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.stage.StageFailure;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.upstream.ChoiceRequest;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.routing.RoutedGroup;
import org.boragethread.model.upstream.GroupId;

/**
 * Processes one request until its final response: runs its stages, then tries upstreams until one
 * responds or no further attempt is allowed.
 */
final class ForwardedRequest implements StagePhase.Listener, SilenceGuard.Response {

    private static final int INPUTS_LOST = 409;
    private static final int OK = 200;
    private static final int SERVER_ERROR = 500;

    private final Gateway mGateway;
    private final CallerRequest mRequest;
    private final CallerResponseWriter mResponseWriter;
    private final RequestTrace mTrace;
    private final ForwardedStream mStream;
    private AdmittedRequest mAdmitted;
    private RoutedGroup mGroup;
    private UpstreamFeedback mFeedback;
    private Placement mPlacement;
    private Scheduler.Timer mDeadlineTimer = () -> {};
    private final QuarantineGuard mPrompt;
    private final StagePhase mStages;
    private final UpstreamSearch mSearch;
    private final UpstreamSelection mSelection;
    private final StreamContinuation mContinuation;
    private final AttemptCounts mCounts = new AttemptCounts();
    private AttemptSender mSender;
    private RetryPermit mRetries;
    private Optional<SilenceGuard> mSilence = Optional.empty();
    private final VersionWait mVersions;
    private UpstreamAttempt mAttempt;
    private boolean mEnded;

    ForwardedRequest(Gateway gateway, CallerRequest request, CallerResponseWriter responseWriter) {
        mGateway = gateway;
        mRequest = request;
        mResponseWriter = responseWriter;
        mStream = new ForwardedStream(responseWriter, gateway.time());
        mTrace = new RequestTrace(gateway, request);
        mPrompt = new QuarantineGuard(gateway, mTrace);
        mSearch = new UpstreamSearch(gateway.chooser(), gateway.time());
        mSelection = new UpstreamSelection(gateway, request, mTrace);
        mContinuation = new StreamContinuation(gateway, request, mTrace);
        mStages = new StagePhase(gateway, request, mStream, mContinuation::isTakenUp, this);
        mVersions = new VersionWait(gateway, mTrace, mContinuation);
    }

    /** Admits the request and starts processing it. */
    void start() {
        var admission = new Admission(mGateway).admit(mRequest);
        if (admission.isLeft()) {
            refuse(admission.getLeft(), decider(admission.getLeft().reason()));
            return;
        }
        mAdmitted = admission.get();
        GroupId target = mAdmitted.route().groupAt(mRequest.unitHash()).group();
        Optional<RoutedGroup> group = mGateway.groupConfig(target);
        if (group.isEmpty()) {
            fail(RefusalReason.NO_UPSTREAM, target + " is not configured");
            return;
        }
        mGroup = group.get();
        mFeedback = new UpstreamFeedback(mGateway, mGroup);
        mPlacement =
                new Placement(
                        mGroup,
                        mAdmitted,
                        mGateway,
                        mFeedback.responseTimes(),
                        mContinuation::requiredVersion);
        RequestParts parts =
                new RequestParts(
                        mRequest,
                        mAdmitted,
                        mGroup,
                        mFeedback,
                        mPlacement,
                        mCounts,
                        mPrompt,
                        mStages,
                        mStream,
                        mContinuation,
                        mVersions,
                        mSelection,
                        mTrace);
        mSelection.start(parts);
        mSender = new AttemptSender(mGateway, parts);
        mRetries = new RetryPermit(mGateway, parts, mSearch, mSender);
        mSilence = Optional.of(new SilenceGuard(mGateway, parts, mSender, this));
        mTrace.admitted(mAdmitted, remaining());
        mPrompt.start(mRequest, mAdmitted, target, this::onPartBlocked);
        mSearch.start(mGateway.rateLimitQueue(target), mAdmitted.priority());
        if (mPrompt.isRefused(this::fail)
                || mSelection.isTooLarge(this::fail)
                || mSearch.isRefused(mPlacement.choiceRequest(), remaining(), this::fail)) {
            return;
        }
        mDeadlineTimer = mGateway.scheduler().schedule(mSender.timeToForward(), this::onDeadline);
        mContinuation.start(mAdmitted, target, this::onOriginKnown, this::fail);
    }

    private void onOriginKnown() {
        if (!mContinuation.isRefused(mPlacement.choiceRequest(), this::fail)) {
            runStages();
        }
    }

    /** Refuses a request that is not at an upstream as soon as a part of its prompt is blocked. */
    private void onPartBlocked() {
        if (!mEnded && (mAttempt == null || !mAttempt.isActive())) {
            mPrompt.isRefused(this::fail);
        }
    }

    private void runStages() {
        if (mAdmitted.pieceCount() == 0) {
            send();
            return;
        }
        Duration needed = mAdmitted.expectedStageTime(mGateway);
        Duration left = mStages.timeLeft(mAdmitted, mFeedback.responseTimes());
        if (needed.compareTo(left) > 0) {
            fail(
                    RefusalReason.DEADLINE_HOPELESS,
                    "stages need %d ms, %d ms remain".formatted(needed.toMillis(), left.toMillis()),
                    mStages.retryAfter(mAdmitted));
            return;
        }
        mPlacement.chooseStageDataCentre(mGateway.chooser());
        mStages.run(mAdmitted, mPlacement.stageDataCentre(), mFeedback.responseTimes());
    }

    @Override
    public void onStagesReady() {
        if (!mEnded) {
            send();
        }
    }

    @Override
    public void onStagesFailed(StageFailure failure) {
        if (mEnded) {
            return;
        }
        if (failure.kind() == StageFailure.Kind.INPUT_MISSING && mStages.canRerun()) {
            mTrace.retried("stage-input-missing", mCounts.sends(), remaining());
            runStages();
            return;
        }
        String detail = "stage group %s: %s".formatted(failure.detail(), failure.kind());
        if (failure.kind() == StageFailure.Kind.DEADLINE) {
            fail(RefusalReason.DEADLINE_HOPELESS, detail, mStages.retryAfter(mAdmitted));
        } else {
            fail(RefusalReason.STAGE_FAILED, detail);
        }
    }

    private void send() {
        if (mEnded || mAttempt != null && mAttempt.isActive() || mPrompt.isRefused(this::fail)) {
            return;
        }
        mSelection.select(mSender::choose, mSender::tryCount, this::sendTo, this::fail);
    }

    private void sendTo(Optional<UpstreamNode> node) {
        if (node.isEmpty()) {
            searchAgain(mPlacement.choiceRequest());
            return;
        }
        mSearch.reset();
        mAttempt = mSender.create(node.get(), this);
        mSender.send(mAttempt, mStream.lastEventId());
        silence().onActivity();
    }

    private void searchAgain(ChoiceRequest choice) {
        mSearch.next(choice, mStages.remaining(mAdmitted), mRequest.unitHash())
                .peek(mTrace::waiting)
                .peek(delay -> mGateway.scheduler().schedule(delay, this::send))
                .peekLeft(this::failSearch);
    }

    private void failSearch(UpstreamSearch.Failure failure) {
        if (!mContinuation.isRefused(mPlacement.choiceRequest(), this::fail)) {
            fail(RefusalReason.NO_UPSTREAM, failure.detail(), failure.retryAfter());
        }
    }

    private SilenceGuard silence() {
        return mSilence.orElseThrow();
    }

    @Override
    public UpstreamAttempt attempt() {
        return mAttempt;
    }

    @Override
    public void onTakenOver(UpstreamAttempt attempt) {
        mAttempt = attempt;
    }

    /** Cancels an attempt and goes on as if its upstream had broken it off. */
    private void giveUp(UpstreamAttempt attempt, String detail) {
        attempt.cancel();
        if (attempt.isForwarding() && mStream.isStarted()) {
            countBroken(attempt.node(), detail);
            goOn(attempt.node(), detail);
        } else {
            onFailed(attempt.node(), detail);
        }
    }

    @Override
    public void onNotExecuted(UpstreamNode node, int status) {
        mFeedback.onRejected(node, status);
        mCounts.onRejected(node.entry().address());
        if (silence().takeOver()) {
            return;
        }
        if (status == INPUTS_LOST
                && mStages.canRerun()
                && mRetries.tryAfterRejection("inputs-lost")) {
            restartStages();
            return;
        }
        if (!node.isPaused(mGateway.time().nanoTime())) {
            mPlacement.exclude(node);
        }
        if (mCounts.mayBeRejectedAgain() && mRetries.tryAfterRejection("status-" + status)) {
            send();
            return;
        }
        fail(
                RefusalReason.UPSTREAM_BUSY,
                "upstream %s: %d".formatted(node.entry().id(), status),
                mSearch.retryAfter(mPlacement.choiceRequest(), mRequest.unitHash()));
    }

    @Override
    public void onNotSent(UpstreamNode node, UnsentAttempt unsent) {
        mFeedback.onNotSent(node, unsent);
        mPlacement.exclude(node);
        mCounts.onNotSent(unsent);
        if (silence().takeOver()) {
            return;
        }
        if (mCounts.mayTryAfter(unsent) && !mRetries.isDeadlineNear()) {
            mTrace.retried("unreachable", mCounts.sends(), remaining());
            send();
            return;
        }
        fail(RefusalReason.UPSTREAM_UNREACHABLE, unsent.detail());
    }

    @Override
    public void onFailed(UpstreamNode node, String detail) {
        countBroken(node, detail);
        if (silence().takeOver()) {
            return;
        }
        if (mRetries.tryAfterExecution("broken")) {
            send();
            return;
        }
        fail(RefusalReason.UPSTREAM_FAILED, "upstream %s: %s".formatted(node.entry().id(), detail));
    }

    @Override
    public void onStreamBroken(UpstreamNode node, String detail) {
        countBroken(node, detail);
        boolean mayGoOn = mStream.canResume() && mRetries.isRerunAllowed();
        UpstreamAttempt broken = mAttempt;
        boolean isPending = mVersions.isPending(broken);
        // Another attempt may take over during the wait.
        mVersions.onInterrupted(broken, () -> goOnUnless(mAttempt != broken, node, detail));
        if (isPending && !mayGoOn) {
            goOn(node, detail);
        }
    }

    private void countBroken(UpstreamNode node, String detail) {
        mTrace.responseBroken(node, detail, mAttempt.progress(), mStream.lastEventId());
        mFeedback.onFailure(node);
        mPlacement.exclude(node);
        mCounts.onExecuted();
    }

    /** Goes on with a stream at another upstream, or cuts it off. */
    private void goOn(UpstreamNode node, String detail) {
        goOnUnless(false, node, detail);
    }

    private void goOnUnless(boolean takenOver, UpstreamNode node, String detail) {
        if (takenOver || mEnded || silence().takeOver()) {
            return;
        }
        mRetries.awaitUpstream(node, () -> resume(node, detail));
    }

    private void resume(UpstreamNode node, String detail) {
        if (mEnded) {
            return;
        }
        if (mRetries.tryResume()) {
            mStream.prepareResume();
            restartStages();
            return;
        }
        abortResponse(Decider.UPSTREAM, "upstream %s: %s".formatted(node.entry().id(), detail));
    }

    @Override
    public void onResponse(UpstreamNode node, int status, ByteBuf body) {
        if (mStream.isStarted()) {
            String detail = "responded %d on resume".formatted(status);
            countBroken(node, detail);
            goOn(node, detail);
            return;
        }
        if (status >= SERVER_ERROR) {
            mCounts.onExecuted();
            mPlacement.exclude(node);
            if (silence().takeOver()) {
                return;
            }
            if (mRetries.tryAfterExecution("status-" + status)) {
                send();
                return;
            }
        } else {
            mFeedback.onResponse(node, mAttempt.timedFrom(), mAttempt.uncachedTokens());
        }
        mTrace.answered(node, status, mCounts.sends(), mAttempt.progress());
        end();
        mResponseWriter.sendResponse(status, mAttempt.forwardedHeaders(), body);
    }

    @Override
    public void onSuccessHead() {
        silence().onActivity();
        mVersions.hold(VersionWait.Cause.RESPONDS, mAttempt, mAttempt::release);
    }

    @Override
    public void onBuffered() {
        silence().onActivity();
    }

    @Override
    public void onStreamHead(UpstreamNode node, int status) {
        if (!mContinuation.accepts(mAttempt.softwareVersion())) {
            giveUp(mAttempt, "the upstream may run another software version by now");
            return;
        }
        mFeedback.onResponse(node, mAttempt.timedFrom(), mAttempt.uncachedTokens());
        mTrace.responseStarted();
        mStages.release();
        if (!mStream.isStarted()) {
            boolean resumable = mAdmitted.route().resumable() && mAttempt.isEventStream();
            Runnable onBegin = () -> mContinuation.onBegin(mAttempt);
            mStream.start(status, mAttempt.forwardedHeaders(), resumable, onBegin);
        } else if (!mAttempt.isEventStream()) {
            mAttempt.countGivenUp();
            giveUp(mAttempt, "responded %d without events on resume".formatted(status));
        }
    }

    @Override
    public void onStreamData(ByteBuf data) {
        if (mEnded) {
            return;
        }
        silence().onActivity();
        if (!mStream.forward(data)) {
            setReading(false);
        }
    }

    @Override
    public void onStreamEnd(UpstreamNode node) {
        mTrace.answered(node, OK, mCounts.sends(), mAttempt.progress());
        end();
        mStream.end();
    }

    /** Resumes or pauses reading when the caller's connection becomes writable or not. */
    void onWritabilityChanged(boolean writable) {
        if (mAttempt != null && !mEnded) {
            setReading(writable);
        }
    }

    private void setReading(boolean reading) {
        mAttempt.setReading(reading);
        silence().onReading(reading);
    }

    /** Cancels all work on the request because the caller disconnected. */
    void onCallerDisconnected() {
        if (mEnded) {
            return;
        }
        mTrace.cancelled(mCounts.sends(), Optional.ofNullable(mAttempt));
        end();
    }

    private void onDeadline() {
        Optional.ofNullable(mAttempt).ifPresent(UpstreamAttempt::countGivenUp);
        abandon(RefusalReason.DEADLINE_EXCEEDED, "the deadline passed");
    }

    /** Ends the request on behalf of this process. A response that has started is cut off. */
    void abandon(RefusalReason reason, String detail) {
        if (!mEnded) {
            fail(reason, detail);
        }
    }

    private void restartStages() {
        mStages.release();
        runStages();
    }

    private void fail(RefusalReason reason, String detail) {
        fail(reason, detail, RetryDelays.SHORT);
    }

    /**
     * Ends without a response from an upstream; reports 'not run' only if that is certain.
     *
     * @param retryAfter delay before a retry, given to the caller if the request did not run
     */
    private void fail(RefusalReason reason, String detail, Duration retryAfter) {
        if (mStream.isStarted()) {
            abortResponse(decider(reason), detail);
            return;
        }
        refuse(mCounts.refusal(reason, detail, retryAfter), decider(reason));
    }

    private Decider decider(RefusalReason reason) {
        boolean isStop = reason == RefusalReason.NOT_READY && mGateway.isStopping();
        return isStop ? Decider.STOP : Decider.of(reason);
    }

    private void refuse(Refusal refusal, Decider decidedBy) {
        mTrace.refused(refusal, decidedBy, mCounts.sends());
        end();
        mResponseWriter.refuse(refusal);
    }

    private void abortResponse(Decider decidedBy, String detail) {
        mTrace.aborted(decidedBy, detail, mCounts.sends());
        if (mAttempt.isActive()) {
            mVersions.onInterrupted(mAttempt, () -> {});
        }
        end();
        mResponseWriter.abort();
    }

    private void end() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mDeadlineTimer.cancel();
        mPrompt.stop();
        mContinuation.stop();
        mSearch.reset();
        mSelection.stop();
        mSilence.ifPresent(SilenceGuard::stop);
        Optional.ofNullable(mAttempt).ifPresent(UpstreamAttempt::cancel);
        mStages.cancel();
        mRequest.body().release();
    }

    private Duration remaining() {
        return mSender.remaining();
    }
}
