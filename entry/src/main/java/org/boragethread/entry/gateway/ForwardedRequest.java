package org.boragethread.entry.gateway;

import io.netty.buffer.ByteBuf;
import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.stage.StageFailure;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.upstream.ChoiceRequest;
import org.boragethread.core.upstream.ResponseTimeModel;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.routing.RoutedGroup;
import org.boragethread.model.upstream.GroupId;

/**
 * Processes one request until its final response: runs its stages, then tries upstreams until one
 * responds or no further attempt is allowed.
 */
final class ForwardedRequest implements StagePhase.Listener, AttemptListener {

    /** Time after the caller's deadline in which a finished response may still be forwarded. */
    private static final Duration DEADLINE_SLACK = Duration.ofMillis(40);

    /** Time for which an upstream is avoided after another process responded at its address. */
    private static final Duration MISDIRECTED_AVOIDANCE = Duration.ofSeconds(5);

    private static final Duration BUSY_TIME = Duration.ofMillis(150);
    private static final int MISDIRECTED = 421;
    private static final int INPUTS_LOST = 409;
    private static final int OK = 200;
    private static final int SERVER_ERROR = 500;

    /** Number of attempts not executed by an upstream after which the request is refused. */
    private static final int MAX_REJECTIONS = 4;

    private final Gateway mGateway;
    private final CallerRequest mRequest;
    private final CallerResponseWriter mResponseWriter;
    private final RequestTrace mTrace;
    private final ForwardedStream mStream;
    private AdmittedRequest mAdmitted;
    private RoutedGroup mGroup;
    private Placement mPlacement;
    private Scheduler.Timer mDeadlineTimer = () -> {};
    private final QuarantineGuard mPrompt;
    private final StagePhase mStages;
    private final StallWatch mStallWatch;
    private final UpstreamSearch mSearch;
    private UpstreamAttempt mAttempt;
    private long mUncachedTokens;
    private int mExecutions;
    private int mSends;
    private int mRejections;
    private boolean mEnded;

    ForwardedRequest(Gateway gateway, CallerRequest request, CallerResponseWriter responseWriter) {
        mGateway = gateway;
        mRequest = request;
        mResponseWriter = responseWriter;
        mStream = new ForwardedStream(responseWriter);
        mTrace = new RequestTrace(gateway, request);
        mPrompt = new QuarantineGuard(gateway, mTrace);
        mStages = new StagePhase(gateway, request, this);
        mStallWatch = new StallWatch(gateway.scheduler());
        mSearch = new UpstreamSearch(gateway.chooser(), gateway.time());
    }

    /** Admits the request and starts processing it. */
    void start() {
        var admission = new Admission(mGateway).admit(mRequest);
        if (admission.isLeft()) {
            refuse(admission.getLeft());
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
        mPlacement = new Placement(mGroup, mAdmitted, mGateway.routingTable(), responseTimes());
        mTrace.admitted(mAdmitted, remaining());
        mPrompt.start(mRequest, mAdmitted, target, this::onPartBlocked);
        mSearch.start(mGateway.rateLimitQueue(target), mAdmitted.priority());
        if (mPrompt.isRefused(this::fail)
                || mSearch.isRefused(mPlacement.choiceRequest(), remaining(), this::fail)) {
            return;
        }
        Duration left =
                remaining().plus(mAdmitted.isRouteTimeout() ? Duration.ZERO : DEADLINE_SLACK);
        mDeadlineTimer = mGateway.scheduler().schedule(left, this::onDeadline);
        runStages();
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
        if (needed.compareTo(remaining()) > 0) {
            fail(
                    RefusalReason.DEADLINE_HOPELESS,
                    "stages need %d ms, %d ms remain"
                            .formatted(needed.toMillis(), remaining().toMillis()),
                    backlogRetryAfter());
            return;
        }
        mPlacement.chooseStageDataCentre(mGateway.chooser());
        mStages.run(mAdmitted, mPlacement.stageDataCentre(), responseTimes());
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
            mTrace.retried("stage-input-missing", mSends, remaining());
            runStages();
            return;
        }
        String detail = "stage group %s: %s".formatted(failure.detail(), failure.kind());
        if (failure.kind() == StageFailure.Kind.DEADLINE) {
            fail(RefusalReason.DEADLINE_HOPELESS, detail, backlogRetryAfter());
        } else {
            fail(RefusalReason.STAGE_FAILED, detail);
        }
    }

    private void send() {
        if (mEnded || mAttempt != null && mAttempt.isActive() || mPrompt.isRefused(this::fail)) {
            return;
        }
        ChoiceRequest choice = mPlacement.choiceRequest();
        Optional<UpstreamNode> node = mGateway.chooser().choose(choice);
        if (node.isEmpty()) {
            searchAgain(choice);
            return;
        }
        mSearch.reset();
        if (mSends == 0) {
            mGateway.retryBudget(mGroup.id()).recordFirstCall();
        }
        mSends++;
        long now = mGateway.time().nanoTime();
        mUncachedTokens = mAdmitted.uncachedTokens(node.get());
        double prefillMillis = responseTimes().prefillMillis(mUncachedTokens);
        mAttempt =
                new UpstreamAttempt(
                        node.get(),
                        mGateway,
                        mPrompt.suspects(),
                        mAdmitted.isStreaming(),
                        this,
                        now,
                        prefillMillis);
        mPrompt.onSent();
        mAdmitted.countPrompt(node.get(), mGroup, prefillMillis);
        mTrace.sent(node.get(), mSends, remaining(), mStream.lastEventId());
        mAttempt.start(
                mGateway.connections(),
                OutgoingRequest.of(mRequest, mAdmitted, node.get(), remaining())
                        .withInputs(mStages.resultHandles(), mAdmitted.pieceCount() > 0)
                        .resumeAfter(mStream.lastEventId())
                        .toHttpCall());
        startStallTimer();
    }

    private void searchAgain(ChoiceRequest choice) {
        mSearch.next(choice, remaining(), mRequest.unitHash())
                .peek(mTrace::waiting)
                .peek(delay -> mGateway.scheduler().schedule(delay, this::send))
                .peekLeft(f -> fail(RefusalReason.NO_UPSTREAM, f.detail(), f.retryAfter()));
    }

    /** Retries an idempotent request at another upstream if the current one stays silent. */
    private void startStallTimer() {
        if (!mAdmitted.route().isIdempotent() || !mAttempt.hasProgressed()) {
            return;
        }
        UpstreamAttempt attempt = mAttempt;
        Duration timeout =
                mStream.isStarted()
                        ? StallTimeouts.betweenEvents(mAdmitted.route())
                        : firstResponseTimeout();
        mStallWatch.start(attempt::isActive, timeout, () -> onStall(attempt));
    }

    private Duration firstResponseTimeout() {
        return StallTimeouts.first(mAdmitted.route(), mUncachedTokens, responseTimes());
    }

    private void onStall(UpstreamAttempt stalled) {
        if (mEnded || mAttempt != stalled) {
            return;
        }
        boolean canSwitch =
                (!stalled.isForwarding() || mStream.canResume())
                        && mExecutions + 1 < mAdmitted.route().maxAttempts()
                        && mGateway.chooser()
                                .hasCallableCandidate(mPlacement.choiceWithout(stalled.node()))
                        && remaining().compareTo(firstResponseTimeout()) > 0;
        if (!canSwitch) {
            return;
        }
        stalled.cancel();
        if (stalled.isForwarding()) {
            onStreamBroken(stalled.node(), "no event before the stall timeout");
        } else {
            onFailed(stalled.node(), "no response before the stall timeout");
        }
    }

    @Override
    public void onNotExecuted(UpstreamNode node, int status) {
        long now = mGateway.time().nanoTime();
        if (status == MISDIRECTED) {
            node.avoidUntil(now + MISDIRECTED_AVOIDANCE.toNanos());
        } else {
            node.setBusyUntil(now + BUSY_TIME.toNanos());
        }
        mRejections++;
        if (status == INPUTS_LOST && mStages.canRerun() && tryRetry("inputs-lost")) {
            restartStages();
            return;
        }
        if (!node.isPaused(now)) {
            mPlacement.exclude(node);
        }
        if (mRejections < MAX_REJECTIONS && tryRetry("status-" + status)) {
            send();
            return;
        }
        fail(
                RefusalReason.UPSTREAM_BUSY,
                "upstream %s: %d".formatted(node.entry().id(), status),
                mSearch.retryAfter(mPlacement.choiceRequest(), mRequest.unitHash()));
    }

    @Override
    public void onNotSent(UpstreamNode node, String detail) {
        recordFailure(node);
        mPlacement.exclude(node);
        mRejections++;
        if (mRejections <= MAX_REJECTIONS && !isDeadlineNear()) {
            mTrace.retried("unreachable", mSends, remaining());
            send();
            return;
        }
        fail(RefusalReason.UPSTREAM_UNREACHABLE, detail);
    }

    @Override
    public void onFailed(UpstreamNode node, String detail) {
        mTrace.responseBroken(node, detail, mAttempt.progress(), mStream.lastEventId());
        recordFailure(node);
        mPlacement.exclude(node);
        mExecutions++;
        if (canRetry() && tryRetry("broken")) {
            send();
            return;
        }
        fail(RefusalReason.UPSTREAM_FAILED, "upstream %s: %s".formatted(node.entry().id(), detail));
    }

    @Override
    public void onStreamBroken(UpstreamNode node, String detail) {
        mTrace.responseBroken(node, detail, mAttempt.progress(), mStream.lastEventId());
        recordFailure(node);
        mPlacement.exclude(node);
        mExecutions++;
        if (mStream.canResume() && canRetry() && tryRetry("resume")) {
            mStream.prepareResume();
            restartStages();
            return;
        }
        abortResponse("upstream %s: %s".formatted(node.entry().id(), detail));
    }

    @Override
    public void onResponse(UpstreamNode node, int status, ByteBuf body) {
        if (status >= SERVER_ERROR) {
            mExecutions++;
            mPlacement.exclude(node);
            if (canRetry() && tryRetry("status-" + status)) {
                send();
                return;
            }
        } else {
            recordResponseTime(node);
        }
        if (mStream.isStarted()) {
            abortResponse(
                    "upstream %s responded %d on resume".formatted(node.entry().id(), status));
            return;
        }
        mTrace.answered(node, status, mSends, mAttempt.progress());
        end();
        mResponseWriter.sendResponse(status, mAttempt.forwardedHeaders(), body);
    }

    @Override
    public void onStreamHead(UpstreamNode node, int status) {
        recordResponseTime(node);
        mTrace.responseStarted();
        mStages.release();
        if (!mStream.isStarted()) {
            boolean resumable = mAdmitted.route().resumable() && mAttempt.isEventStream();
            mStream.start(status, mAttempt.forwardedHeaders(), resumable);
        } else if (!mAttempt.isEventStream()) {
            abortResponse("upstream %s resumed without events".formatted(node.entry().id()));
        }
    }

    @Override
    public void onStreamData(ByteBuf data) {
        if (mEnded) {
            return;
        }
        startStallTimer();
        if (!mStream.forward(data)) {
            mAttempt.setReading(false);
        }
    }

    @Override
    public void onStreamEnd(UpstreamNode node) {
        mTrace.answered(node, OK, mSends, mAttempt.progress());
        end();
        mStream.end();
    }

    /** Resumes or pauses reading when the caller's connection becomes writable or not. */
    void onWritabilityChanged(boolean writable) {
        if (mAttempt != null && !mEnded) {
            mAttempt.setReading(writable);
        }
    }

    /** Cancels all work on the request because the caller disconnected. */
    void onCallerDisconnected() {
        if (mEnded) {
            return;
        }
        mTrace.cancelled(mSends);
        end();
    }

    private void onDeadline() {
        if (mEnded) {
            return;
        }
        if (mStream.isStarted()) {
            abortResponse("the deadline passed");
            return;
        }
        fail(RefusalReason.DEADLINE_EXCEEDED, "the deadline passed");
    }

    /** Ends the request because the process exits. A response that has started is cut off. */
    void onShutdown() {
        if (!mEnded) {
            fail(RefusalReason.NOT_READY, "the process is stopping");
        }
    }

    private boolean canRetry() {
        return mAdmitted.route().isIdempotent()
                && mExecutions < mAdmitted.route().maxAttempts()
                && !isDeadlineNear()
                && !mPrompt.isSuspect();
    }

    private boolean isDeadlineNear() {
        return remaining().compareTo(UpstreamSearch.INTERVAL) < 0;
    }

    private boolean tryRetry(String reason) {
        ChoiceRequest choice = mPlacement.choiceRequest();
        boolean possible =
                mGateway.chooser().hasCandidate(choice)
                        || mSearch.isPauseShort(choice, remaining());
        if (isDeadlineNear() || !possible) {
            return false;
        }
        if (!mGateway.retryBudget(mGroup.id()).tryAcquire()) {
            mTrace.retryDenied(reason);
            return false;
        }
        mTrace.retried(reason, mSends, remaining());
        return true;
    }

    private void restartStages() {
        mStages.release();
        runStages();
    }

    private void recordFailure(UpstreamNode node) {
        node.onFailure(mGateway.time().nanoTime(), mGroup.coldRate() > 0, mGroup.coldTime());
    }

    private ResponseTimeModel responseTimes() {
        return mGateway.responseTimes(mGroup.id());
    }

    private void recordResponseTime(UpstreamNode node) {
        Duration time = mGateway.time().since(mAttempt.sentAt());
        mGateway.metrics().onAttempt(mGroup.id().value(), time);
        node.onSuccess(responseTimes().addAndCompare(mUncachedTokens, time.toNanos() / 1e6));
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
            abortResponse(detail);
            return;
        }
        boolean pending = mSends > mRejections + mExecutions;
        boolean mayHaveRun = mExecutions > 0 || mAttempt != null && pending;
        if (mayHaveRun) {
            RefusalReason unknown =
                    reason == RefusalReason.DEADLINE_EXCEEDED
                            ? reason
                            : RefusalReason.UPSTREAM_FAILED;
            refuse(Refusal.unknown(unknown, detail));
            return;
        }
        RefusalReason notRun =
                reason == RefusalReason.DEADLINE_EXCEEDED
                        ? RefusalReason.DEADLINE_HOPELESS
                        : reason;
        refuse(Refusal.notRun(notRun, detail, retryAfter));
    }

    private Duration backlogRetryAfter() {
        return RetryDelays.afterBacklog(remaining(), mAdmitted.expectedStageTime(mGateway));
    }

    private void refuse(Refusal refusal) {
        mTrace.refused(refusal, mSends);
        end();
        mResponseWriter.refuse(refusal);
    }

    private void abortResponse(String detail) {
        mTrace.aborted(detail);
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
        mSearch.reset();
        mStallWatch.stop();
        if (mAttempt != null) {
            mAttempt.cancel();
        }
        mStages.cancel();
        mRequest.body().release();
    }

    private Duration remaining() {
        return Duration.ofNanos(
                Math.max(0, mAdmitted.deadlineNanos() - mGateway.time().nanoTime()));
    }
}
