package org.boragethread.entry.gateway;

import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.stage.StageFailure;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.upstream.ChoiceRequest;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.routing.RequestKind;
import org.boragethread.model.routing.RoutedGroup;
import org.boragethread.model.upstream.GroupId;

/**
 * One request from its arrival to its final answer: stages first, then attempts at upstreams until
 * one answers or no other attempt is allowed.
 */
final class ForwardedRequest implements StagePhase.Listener, AttemptListener {

    /** Pause before an upstream is looked for again. */
    private static final Duration SEARCH_PAUSE = Duration.ofMillis(40);

    /** Longest search for an upstream when all are cold; when there is none, a third of it. */
    private static final Duration MAX_SEARCH = Duration.ofMillis(900);

    /** Time after the caller's deadline in which a ready answer may still be passed on. */
    private static final Duration DEADLINE_SLACK = Duration.ofMillis(40);

    /** Time for which an upstream is not called after another process answered for it. */
    private static final Duration MISDIRECTED_AVOIDANCE = Duration.ofSeconds(5);

    private static final Duration BUSY_AVOIDANCE = Duration.ofMillis(150);
    private static final Duration SOON = Duration.ofMillis(300);

    /** Time in which the work that waits after a burst of some seconds gets less by half. */
    private static final Duration BACKLOG_RETRY = Duration.ofSeconds(2);

    private static final int MISDIRECTED = 421;
    private static final int INPUTS_LOST = 409;
    private static final int OK = 200;
    private static final int SERVER_ERROR = 500;

    /** Attempts that no upstream executed, after which the request is refused. */
    private static final int MAX_REJECTIONS = 4;

    private final Gateway mGateway;
    private final CallerRequest mRequest;
    private final CallerSink mSink;
    private final RequestTrace mTrace;
    private final EventRelay mRelay = new EventRelay();
    private Admitted mAdmitted;
    private RoutedGroup mGroup;
    private Placement mPlacement;
    private Scheduler.Timer mDeadlineTimer = () -> {};
    private Scheduler.Timer mStallTimer = () -> {};
    private final StagePhase mStages;
    private UpstreamAttempt mAttempt;
    private int mExecuted;
    private int mSends;
    private int mRejections;
    private boolean mHeadSent;
    private boolean mEnded;
    private long mSearchSince = -1;

    ForwardedRequest(Gateway gateway, CallerRequest request, CallerSink sink) {
        mGateway = gateway;
        mRequest = request;
        mSink = sink;
        mTrace = new RequestTrace(gateway, request);
        mStages = new StagePhase(gateway, request, this);
    }

    /** Checks the request and begins to serve it. */
    void start() {
        var admission = new Admission(mGateway).admit(mRequest);
        if (admission.isLeft()) {
            refuse(admission.getLeft());
            return;
        }
        mAdmitted = admission.get();
        GroupId target = mAdmitted.route().groupAt(point(mRequest.id())).group();
        Optional<RoutedGroup> group = mGateway.group(target);
        if (group.isEmpty()) {
            refuse(RefusalReason.NO_UPSTREAM, "group " + target + " is not configured", SOON);
            return;
        }
        mGroup = group.get();
        mPlacement = new Placement(mGroup, mAdmitted, mGateway.routing());
        mTrace.admitted(mAdmitted, remaining());
        Duration left =
                remaining().plus(mAdmitted.isRouteTimeout() ? Duration.ZERO : DEADLINE_SLACK);
        mDeadlineTimer = mGateway.scheduler().schedule(left, this::onDeadline);
        runStages();
    }

    private static double point(String id) {
        return (Hashing.komihash5_0().hashCharsToLong(id) >>> 11) * 0x1.0p-53;
    }

    private void runStages() {
        if (mAdmitted.pieceCount() == 0) {
            send();
            return;
        }
        Duration needed = mAdmitted.expectedStageTime(mGateway);
        if (needed.compareTo(remaining()) > 0) {
            refuse(
                    RefusalReason.DEADLINE_HOPELESS,
                    "stages need %d ms, %d ms remain"
                            .formatted(needed.toMillis(), remaining().toMillis()),
                    afterBacklog());
            return;
        }
        mPlacement.planPlace(mGateway.chooser());
        mStages.run(mAdmitted, mPlacement.near());
    }

    @Override
    public void onStagesReady() {
        if (!mEnded) {
            send();
        }
    }

    @Override
    public void onStagesGivenUp(StageFailure failure) {
        if (mEnded) {
            return;
        }
        if (failure.kind() == StageFailure.Kind.INPUT_MISSING && mStages.mayRunAgain()) {
            repeat("stage-input-missing");
            runStages();
            return;
        }
        String detail = "stage group %s: %s".formatted(failure.detail(), failure.kind());
        if (failure.kind() == StageFailure.Kind.DEADLINE) {
            fail(RefusalReason.DEADLINE_HOPELESS, detail, afterBacklog());
        } else {
            fail(RefusalReason.STAGE_FAILED, detail);
        }
    }

    private void send() {
        if (mEnded) {
            return;
        }
        ChoiceRequest choice = mPlacement.request();
        Optional<UpstreamNode> node = mGateway.chooser().choose(choice);
        if (node.isEmpty()) {
            search(choice);
            return;
        }
        mSearchSince = -1;
        if (mSends == 0) {
            mGateway.budget(mGroup.id()).recordFirstCall();
        }
        mSends++;
        long now = mGateway.time().nanoTime();
        boolean streaming = mAdmitted.route().kind() == RequestKind.STREAMING;
        double promptMillis = mAdmitted.promptMillis(node.get());
        mAttempt = new UpstreamAttempt(node.get(), streaming, this, now, promptMillis);
        node.get().prompts().onPromptSent(mAdmitted.affinity(), promptMillis);
        mTrace.sent(node.get(), mSends, remaining());
        mAttempt.start(
                mGateway.connections(),
                OutgoingRequest.of(mRequest, mAdmitted, node.get(), remaining())
                        .inputs(mStages.results(), mAdmitted.pieceCount() > 0)
                        .resumeAfter(mRelay.lastId())
                        .call());
        watchForStall();
    }

    /** All upstreams are cold, or there is none: one may come soon. */
    private void search(ChoiceRequest choice) {
        long now = mGateway.time().nanoTime();
        if (mSearchSince < 0) {
            mSearchSince = now;
        }
        boolean any = mGateway.chooser().hasCandidate(choice);
        long most = any ? MAX_SEARCH.toNanos() : MAX_SEARCH.toNanos() / 3;
        if (now - mSearchSince > Math.min(most, remaining().toNanos() / 3)) {
            fail(
                    RefusalReason.NO_UPSTREAM,
                    any ? "all upstreams are cold" : "no upstream of group " + mGroup.id());
            return;
        }
        mGateway.scheduler().schedule(SEARCH_PAUSE, this::send);
    }

    /** A repeatable request whose upstream stays silent goes on at another one. */
    private void watchForStall() {
        mStallTimer.cancel();
        if (!mAdmitted.route().isIdempotent()) {
            return;
        }
        UpstreamAttempt watched = mAttempt;
        Duration patience = StallTimes.of(mAdmitted.route(), mHeadSent);
        mStallTimer = mGateway.scheduler().schedule(patience, () -> onStall(watched));
    }

    private void onStall(UpstreamAttempt watched) {
        if (mEnded || mAttempt != watched) {
            return;
        }
        boolean canMove =
                mExecuted + 1 < mAdmitted.route().maxAttempts()
                        && mGateway.chooser().hasCandidate(mPlacement.without(watched.node()))
                        && remaining().compareTo(StallTimes.of(mAdmitted.route(), false)) > 0;
        if (!canMove) {
            return;
        }
        watched.cancel();
        if (watched.isPassedOn()) {
            onCut(watched.node(), "no event in time");
        } else {
            onBroken(watched.node(), "no answer in time");
        }
    }

    @Override
    public void onNotExecuted(UpstreamNode node, int status) {
        long now = mGateway.time().nanoTime();
        if (status == MISDIRECTED) {
            node.avoidUntil(now + MISDIRECTED_AVOIDANCE.toNanos());
        } else {
            node.setBusyUntil(now + BUSY_AVOIDANCE.toNanos());
        }
        mRejections++;
        if (status == INPUTS_LOST && mStages.mayRunAgain() && tryRepeat("inputs-lost")) {
            restartStages();
            return;
        }
        mPlacement.exclude(node);
        if (mRejections < MAX_REJECTIONS && tryRepeat("status-" + status)) {
            send();
            return;
        }
        fail(RefusalReason.UPSTREAM_BUSY, "upstream %s: %d".formatted(node.entry().id(), status));
    }

    @Override
    public void onUnsent(UpstreamNode node, String detail) {
        noteFailure(node);
        mPlacement.exclude(node);
        mRejections++;
        if (mRejections <= MAX_REJECTIONS && !isLate()) {
            repeat("unreachable");
            send();
            return;
        }
        fail(RefusalReason.UPSTREAM_UNREACHABLE, detail);
    }

    @Override
    public void onBroken(UpstreamNode node, String detail) {
        noteFailure(node);
        mPlacement.exclude(node);
        mExecuted++;
        if (mayRunAgain() && tryRepeat("broken")) {
            send();
            return;
        }
        fail(RefusalReason.UPSTREAM_FAILED, "upstream %s: %s".formatted(node.entry().id(), detail));
    }

    @Override
    public void onCut(UpstreamNode node, String detail) {
        noteFailure(node);
        mPlacement.exclude(node);
        mExecuted++;
        mRelay.dropPartial();
        if (mayRunAgain() && tryRepeat("resume")) {
            restartStages();
            return;
        }
        breakOff("upstream %s: %s".formatted(node.entry().id(), detail));
    }

    @Override
    public void onAnswer(UpstreamNode node, int status, HttpHeaders headers, ByteBuf body) {
        if (status >= SERVER_ERROR) {
            mExecuted++;
            mPlacement.exclude(node);
            if (mayRunAgain() && tryRepeat("status-" + status)) {
                send();
                return;
            }
        } else {
            learn(node);
        }
        if (mHeadSent) {
            breakOff(
                    "upstream %s answered %d to a resumption".formatted(node.entry().id(), status));
            return;
        }
        mTrace.answered(node, status, mSends);
        end();
        mSink.whole(status, ForwardedHeaders.ofResponse(headers), body);
    }

    @Override
    public void onStreamHead(UpstreamNode node, int status, HttpHeaders headers) {
        learn(node);
        mTrace.begun();
        mStages.release();
        if (!mHeadSent) {
            mHeadSent = true;
            HttpHeaders answer = ForwardedHeaders.ofResponse(headers);
            if (mAdmitted.route().resumable()) {
                answer.remove("Content-Length");
            }
            mSink.head(status, answer);
        }
    }

    @Override
    public void onStreamData(ByteBuf data) {
        watchForStall();
        ByteBuf ready =
                mAdmitted.route().resumable() ? mRelay.add(data) : Unpooled.copiedBuffer(data);
        if (!ready.isReadable()) {
            return;
        }
        mSink.body(ready);
        if (!mSink.isWritable() && mAttempt != null) {
            mAttempt.setReading(false);
        }
    }

    @Override
    public void onStreamEnd(UpstreamNode node) {
        ByteBuf rest = mRelay.takeRest();
        if (rest.isReadable()) {
            mSink.body(rest);
        }
        mTrace.answered(node, OK, mSends);
        end();
        mSink.end();
    }

    /** The caller takes more data, or no more for now. */
    void onWritable(boolean writable) {
        if (mAttempt != null && !mEnded) {
            mAttempt.setReading(writable);
        }
    }

    /** The caller has left; all work on its request stops. */
    void onCallerGone() {
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
        if (mHeadSent) {
            breakOff("the time is over");
            return;
        }
        fail(RefusalReason.DEADLINE_EXCEEDED, "the time is over");
    }

    private boolean mayRunAgain() {
        return mAdmitted.route().isIdempotent()
                && mExecuted < mAdmitted.route().maxAttempts()
                && !isLate();
    }

    private boolean isLate() {
        return remaining().compareTo(SEARCH_PAUSE) < 0;
    }

    private boolean tryRepeat(String reason) {
        if (isLate() || !mGateway.chooser().hasCandidate(mPlacement.request())) {
            return false;
        }
        if (!mGateway.budget(mGroup.id()).tryAcquire()) {
            mTrace.repeatDenied(reason);
            return false;
        }
        repeat(reason);
        return true;
    }

    private void repeat(String reason) {
        mTrace.repeated(reason, mSends, remaining());
    }

    private void restartStages() {
        mStages.release();
        runStages();
    }

    private void noteFailure(UpstreamNode node) {
        node.onFailure(mGateway.time().nanoTime(), mGroup.coldRate() > 0, mGroup.coldTime());
    }

    private void learn(UpstreamNode node) {
        if (mAttempt == null) {
            return;
        }
        Duration time = mGateway.time().since(mAttempt.sentAt());
        mGateway.metrics().onAttempt(mGroup.id().value(), time);
        double relative = time.toNanos() / mAdmitted.expectedNanos(mGroup);
        node.onSuccess(mGateway.pace(mGroup.id()).addAndCompare(relative));
    }

    private void fail(RefusalReason reason, String detail) {
        fail(reason, detail, SOON);
    }

    /**
     * Ends without an answer of an upstream: 'not run' only if that is certain.
     *
     * @param retryAfter when a caller whose request has not run should come back
     */
    private void fail(RefusalReason reason, String detail, Duration retryAfter) {
        if (mHeadSent) {
            breakOff(detail);
            return;
        }
        boolean mayHaveRun = mExecuted > 0 || mAttempt != null && isAttemptOpen();
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

    private boolean isAttemptOpen() {
        return mSends > mRejections + mExecuted;
    }

    /**
     * Returns when a caller should come back whose stages cannot be run in time. If that left it
     * too little time, it would be refused again, so it is sent away until its time is over.
     */
    private Duration afterBacklog() {
        Duration needed = BACKLOG_RETRY.plus(mAdmitted.expectedStageTime(mGateway)).plus(SOON);
        Duration over = remaining().plus(SOON);
        boolean enough = remaining().compareTo(needed) >= 0;
        return enough || over.compareTo(BACKLOG_RETRY) < 0 ? BACKLOG_RETRY : over;
    }

    private void refuse(RefusalReason reason, String detail, Duration after) {
        refuse(Refusal.notRun(reason, detail, after));
    }

    private void refuse(Refusal refusal) {
        mTrace.refused(refusal, mSends);
        end();
        mSink.refuse(refusal);
    }

    private void breakOff(String detail) {
        mTrace.brokenOff(detail);
        end();
        mSink.abort();
    }

    private void end() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mDeadlineTimer.cancel();
        mStallTimer.cancel();
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
