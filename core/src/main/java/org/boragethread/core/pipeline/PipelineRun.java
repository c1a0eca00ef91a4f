package org.boragethread.core.pipeline;

import com.dynatrace.hash4j.hashing.Hashing;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.boragethread.core.claim.ClaimDecision;
import org.boragethread.core.claim.ClaimRequest;
import org.boragethread.core.dispatch.StageCall;
import org.boragethread.core.dispatch.UpstreamLink;
import org.boragethread.core.retry.RetryDecision;
import org.boragethread.core.time.Scheduler;
import org.boragethread.model.claim.ClaimOutcome;
import org.boragethread.model.outcome.AttemptId;
import org.boragethread.model.outcome.ExecutionStatus;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.pipeline.Stage;
import org.boragethread.model.upstream.UpstreamId;

/**
 * Runs one request through the stages of its pipeline. All state is guarded by this object's
 * monitor. Callbacks of attempts that are no longer running are ignored.
 */
final class PipelineRun implements RunHandle, StageClaim.Listener {

    private static final Duration RETRY_AFTER_NO_UPSTREAM = Duration.ofMillis(500);
    private static final int MAX_PREFIX_BYTES = 256;

    private final PipelineRequest mRequest;
    private final ResponseSink mSink;
    private final PipelineController mController;
    private final ClaimKeyStrategy mClaimKeys;
    private final Set<UpstreamId> mTriedUpstreams = new HashSet<>();

    private int mStageIndex;
    private int mAttempts;
    private String mContentType;
    private ByteBuffer mInput;
    private ExecutionStatus mRan = ExecutionStatus.NO;
    private ExecutionStatus mRanBeforeStage = ExecutionStatus.NO;
    private StreamProgress mStream = new StreamProgress();
    private final List<StageAttempt> mRunning = new ArrayList<>();
    private Optional<StageClaim> mClaim = Optional.empty();
    private Optional<Refusal> mLastRefusal = Optional.empty();
    private Scheduler.Timer mDeadlineTimer = () -> {};
    private Scheduler.Timer mRetryTimer = () -> {};
    private Scheduler.Timer mHedgeTimer = () -> {};
    private boolean mHedged;
    private boolean mFinished;

    PipelineRun(
            PipelineRequest request,
            ResponseSink sink,
            PipelineController controller,
            ClaimKeyStrategy claimKeys) {
        mClaimKeys = claimKeys;
        mRequest = request;
        mSink = sink;
        mController = controller;
        mContentType = request.contentType();
        mInput = request.body();
    }

    synchronized void start() {
        mDeadlineTimer = mController.scheduler().schedule(remaining(), this::onDeadline);
        startStage();
    }

    private void startStage() {
        mAttempts = 0;
        mHedged = false;
        mTriedUpstreams.clear();
        mLastRefusal = Optional.empty();
        mStream = new StreamProgress();
        mRanBeforeStage = mRan;
        Optional<Refusal> deadlineRefusal =
                policies().checkDeadline(mRequest.pipeline(), mStageIndex, remaining());
        if (deadlineRefusal.isPresent()) {
            fail(deadlineRefusal.get());
            return;
        }
        policies().onFirstCall(stage());
        mClaim = createStageClaim();
        startAttempt();
    }

    private synchronized void startAttempt() {
        if (mFinished) {
            return;
        }
        Optional<UpstreamLink> link = pickUpstream();
        if (link.isEmpty()) {
            fail(mLastRefusal.orElseGet(this::noUpstreamRefusal));
            return;
        }
        if (mClaim.isPresent()) {
            mTriedUpstreams.add(link.get().upstream());
            mClaim.get().acquire(link.get(), remaining());
        } else {
            sendFirst(link.get());
        }
    }

    private void sendFirst(UpstreamLink link) {
        if (!stage().idempotent()) {
            mRan = ExecutionStatus.UNKNOWN;
        }
        send(link);
        scheduleHedge();
    }

    private Optional<UpstreamLink> pickUpstream() {
        return mController.picker().pick(stage(), prefixHash(), Set.copyOf(mTriedUpstreams));
    }

    private void send(UpstreamLink link) {
        mTriedUpstreams.add(link.upstream());
        StageAttempt attempt = new StageAttempt(this, stage(), link, streamsToCaller());
        mRunning.add(attempt);
        StageCall call = buildCall();
        mAttempts++;
        attempt.start(call, mController.time());
    }

    private Optional<StageClaim> createStageClaim() {
        if (stage().idempotent() || mRequest.key().isEmpty()) {
            return Optional.empty();
        }
        String key = mClaimKeys.claimKey(mRequest.key().get(), mStageIndex);
        ClaimRequest claimRequest = ClaimRequestFactory.create(mRequest, key, mStageIndex);
        return mController.claims().map(claims -> new StageClaim(claims, claimRequest, this));
    }

    @Override
    public synchronized void onDecision(
            StageClaim claim, UpstreamLink link, Either<Refusal, ClaimDecision> decision) {
        if (decision.isRight() && decision.get() instanceof ClaimDecision.Run run) {
            claim.markHeld(run.ref());
        } else {
            claim.markNotHeld();
        }
        if (mFinished) {
            claim.close();
        } else if (decision.isLeft()) {
            mRan = max(mRan, decision.getLeft().ran());
            fail(decision.getLeft());
        } else if (decision.get() instanceof ClaimDecision.Replay replay) {
            replay(link, replay.outcome());
        } else if (remaining().isNegative()) {
            onDeadline();
        } else {
            sendFirst(link);
        }
    }

    private static ExecutionStatus max(ExecutionStatus a, ExecutionStatus b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    /** Continues with the recorded response of an earlier request with the same key. */
    private void replay(UpstreamLink link, ClaimOutcome outcome) {
        mRan = ExecutionStatus.YES;
        if (outcome.body().isEmpty() && !isLastStage()) {
            fail(
                    Refusal.unknown(
                            RefusalReason.KEY_OUTCOME_UNKNOWN,
                            "stage \"%s\" ran, but its result was too large to keep"
                                    .formatted(stage().name())));
            return;
        }
        StageAttempt attempt = new StageAttempt(this, stage(), link, streamsToCaller());
        mRunning.add(attempt);
        attempt.replay(outcome);
    }

    private void scheduleHedge() {
        mHedgeTimer.cancel();
        if (mHedged || streamsToCaller() || mTriedUpstreams.size() > 1) {
            return;
        }
        Optional<Duration> delay = policies().hedgeDelay(stage(), remaining());
        if (delay.isPresent()) {
            int stage = mStageIndex;
            mHedgeTimer = mController.scheduler().schedule(delay.get(), () -> hedge(stage));
        }
    }

    /** Sends a second, concurrent attempt when the first is slow, if the policy allows it. */
    private synchronized void hedge(int stage) {
        if (mFinished || mHedged || stage != mStageIndex || mRunning.size() != 1) {
            return;
        }
        Optional<UpstreamLink> link = pickUpstream();
        double utilisation = mController.picker().utilisation(stage());
        if (link.isPresent() && policies().tryHedge(stage(), remaining(), utilisation)) {
            mHedged = true;
            send(link.get());
        }
    }

    private RunPolicies policies() {
        return mController.policies();
    }

    private StageCall buildCall() {
        return new StageCall.Builder()
                .id(new AttemptId(mRequest.id(), mStageIndex, mAttempts))
                .stage(stage())
                .team(mRequest.team().id(), mRequest.team().weight())
                .priority(mRequest.priority())
                .deadlineNanos(mRequest.deadlineNanos())
                .body(mContentType, mInput)
                .resumeFrom(mStream.tokenCount())
                .claim(mClaim.flatMap(StageClaim::markSent))
                .build();
    }

    private Refusal noUpstreamRefusal() {
        return Refusal.notRun(
                RefusalReason.NO_UPSTREAM,
                "no upstream of group \"%s\" is connected and in service"
                        .formatted(stage().group()),
                RETRY_AFTER_NO_UPSTREAM);
    }

    private Stage stage() {
        return mRequest.pipeline().stages().get(mStageIndex);
    }

    private boolean isLastStage() {
        return mStageIndex == mRequest.pipeline().stages().size() - 1;
    }

    private boolean streamsToCaller() {
        return isLastStage() && stage().streaming() && mRequest.streaming();
    }

    private long prefixHash() {
        ByteBuffer prefix = mInput.duplicate();
        byte[] bytes = new byte[Math.min(MAX_PREFIX_BYTES, prefix.remaining())];
        prefix.get(bytes);
        return Hashing.komihash5_0().hashBytesToLong(bytes);
    }

    private Duration remaining() {
        return Duration.ofNanos(mRequest.deadlineNanos() - mController.time().nanoTime());
    }

    /** Forwards an event of the last stage to the caller. */
    synchronized void onEvent(StageAttempt from, ServerSentEvent event, Runnable onSent) {
        if (!isRunning(from)) {
            return;
        }
        if (!mStream.isStarted()) {
            mStream.start();
            mSink.onStreamStart();
        }
        if (event.isToken()) {
            mStream.countToken();
        }
        mSink.onStreamEvent(event.bytes(), onSent);
    }

    /** Handles the complete result of the current stage; of two attempts, the first to end wins. */
    synchronized void onResult(StageAttempt from, StageResult result) {
        if (!isRunning(from)) {
            return;
        }
        if (mStream.isStarted() && !result.isStreamed()) {
            String detail =
                    "stage \"%s\": the upstream responded %d instead of continuing the stream"
                            .formatted(stage().name(), result.status());
            onRefused(from, Refusal.unknown(RefusalReason.UPSTREAM_FAILED, detail));
            return;
        }
        mRunning.remove(from);
        cancelRunning();
        mHedgeTimer.cancel();
        if (!stage().idempotent()) {
            mRan = ExecutionStatus.YES;
        }
        if (!from.isReplay()) {
            Duration latency = mController.time().since(from.startNanos());
            policies().onResult(mRequest.pipeline(), mStageIndex, from.upstream(), latency);
        }
        mClaim.ifPresent(claim -> claim.recordResponse(result.toClaimOutcome()));
        if (streamsToCaller() && result.isStreamed()) {
            finish();
            mSink.onStreamEnd();
            return;
        }
        if (isLastStage() || !result.isSuccess()) {
            finish();
            mSink.onResponse(
                    new PipelineResponse(
                            result.status(), result.contentType(), result.body(), mRan));
            return;
        }
        mStageIndex++;
        mContentType = result.contentType();
        mInput = ByteBuffer.wrap(result.body());
        startStage();
    }

    /** Handles a failed attempt: retries the stage or ends the request. */
    synchronized void onRefused(StageAttempt from, Refusal refusal) {
        if (!isRunning(from)) {
            return;
        }
        mRunning.remove(from);
        if (!mRunning.isEmpty()) {
            return;
        }
        mHedgeTimer.cancel();
        if (!stage().idempotent() && refusal.ran() == ExecutionStatus.NO) {
            mRan = mRanBeforeStage;
        }
        mClaim.ifPresent(claim -> claim.onAttemptRefused(refusal.ran()));
        RetryDecision decision = policies().afterFailure(stage(), refusal, mAttempts, remaining());
        if (!(decision instanceof RetryDecision.Retry retry)) {
            fail(refusal);
            return;
        }
        mLastRefusal = Optional.of(refusal);
        if (retry.delay().isZero()) {
            startAttempt();
        } else {
            mRetryTimer = mController.scheduler().schedule(retry.delay(), this::startAttempt);
        }
    }

    private boolean isRunning(StageAttempt attempt) {
        return !mFinished && mRunning.contains(attempt);
    }

    private void cancelRunning() {
        mRunning.forEach(StageAttempt::cancel);
        mRunning.clear();
    }

    // A pending claim or handover is bounded by the same deadline. Until it is decided, it is not
    // certain that no call with this key has run, so the refusal waits for the decision.
    private synchronized void onDeadline() {
        if (mFinished || mClaim.filter(StageClaim::isPending).isPresent()) {
            return;
        }
        cancelRunning();
        fail(
                Refusal.notRun(
                        RefusalReason.DEADLINE_EXCEEDED,
                        "the deadline passed at stage \"%s\"".formatted(stage().name())));
    }

    private void fail(Refusal refusal) {
        finish();
        mSink.onRefused(refusal.withRan(mRan));
    }

    @Override
    public synchronized void cancel() {
        if (mFinished) {
            return;
        }
        cancelRunning();
        finish();
    }

    private void finish() {
        mFinished = true;
        mClaim.ifPresent(StageClaim::close);
        mDeadlineTimer.cancel();
        mRetryTimer.cancel();
        mHedgeTimer.cancel();
    }
}
