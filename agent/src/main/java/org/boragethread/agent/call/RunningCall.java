package org.boragethread.agent.call;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.CloseableThreadContext;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.agent.upstream.UpstreamClient;
import org.boragethread.agent.upstream.UpstreamExchange;
import org.boragethread.agent.upstream.UpstreamFailure;
import org.boragethread.agent.upstream.UpstreamHead;
import org.boragethread.agent.upstream.UpstreamListener;
import org.boragethread.agent.upstream.UpstreamRequest;
import org.boragethread.core.admission.AdmissionController;
import org.boragethread.core.admission.CallOutcome;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.outcome.ExecutionStatus;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.wire.proto.Call;
import org.boragethread.wire.server.IncomingCall;

/**
 * Sends one call to the upstream once it is admitted, forwards the response to the entry, and
 * reports the outcome to the admission controller.
 */
final class RunningCall implements UpstreamListener {

    private static final Logger LOGGER = LogManager.getLogger(RunningCall.class);

    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;

    private final IncomingCall mCall;
    private final ManagedAdmissionController mAdmission;
    private final TimeSource mTime;
    private final CallMetrics mMetrics;
    private final long mRequestedNanos;
    private final CallRecorder mRecorder;

    private long mAdmittedNanos;
    private AdmissionController.Permit mPermit;
    private Scheduler.Timer mTimer;
    private UpstreamExchange mExchange;
    private Optional<UpstreamHead> mRejection = Optional.empty();
    private boolean mDone;
    private volatile boolean mContinuesAfterCancel;

    RunningCall(
            IncomingCall call,
            ManagedAdmissionController admission,
            TimeSource time,
            CallMetrics metrics,
            long requestedNanos,
            CallRecorder recorder) {
        mCall = call;
        mAdmission = admission;
        mTime = time;
        mMetrics = metrics;
        mRequestedNanos = requestedNanos;
        mRecorder = recorder;
    }

    /** Sends the call to the upstream. */
    void start(AdmissionController.Permit permit, UpstreamClient client, Scheduler scheduler) {
        synchronized (this) {
            mPermit = permit;
            mAdmittedNanos = mTime.nanoTime();
            if (mDone) {
                permit.complete(CallOutcome.CANCELLED, Duration.ZERO);
                return;
            }
            Duration remaining = Duration.ofNanos(mCall.deadlineNanos() - mAdmittedNanos);
            mTimer = scheduler.schedule(remaining, this::timeOut);
        }
        UpstreamExchange exchange = client.send(request(), this);
        boolean cancelled;
        synchronized (this) {
            mExchange = exchange;
            cancelled = mDone;
        }
        if (cancelled) {
            exchange.cancel();
        }
        mCall.onCredit(exchange::resume);
    }

    private UpstreamRequest request() {
        Call message = mCall.message();
        long remaining = Math.max(1, mCall.deadlineNanos() - mTime.nanoTime());
        String priority = mCall.priority().name().toLowerCase(Locale.ROOT);
        List<UpstreamRequest.Header> headers =
                List.of(
                        header("Request-Id", mCall.id().request().toString()),
                        header("Attempt", Integer.toString(mCall.id().attempt())),
                        header("Team", message.getTeam()),
                        header("Priority", priority),
                        header(
                                "Deadline-Ms",
                                Long.toString(TimeUnit.NANOSECONDS.toMillis(remaining))),
                        header("Resume-From", Integer.toString(message.getResumeFrom())));
        return new UpstreamRequest(
                message.getPath(),
                message.getContentType(),
                headers,
                message.getBody(),
                message.getIdempotent());
    }

    private static UpstreamRequest.Header header(String name, String value) {
        return new UpstreamRequest.Header(name, value);
    }

    @Override
    public void onHead(UpstreamHead head) {
        mAdmission.onLoadHeader(head.load());
        if (isFailure(head.status())) {
            mRejection = Optional.of(head);
            return;
        }
        mRecorder.onHead(head.status(), head.contentType());
        mCall.sendHead(head.status(), head.contentType());
    }

    private static boolean isFailure(int status) {
        return status == TOO_MANY_REQUESTS || status >= SERVER_ERROR || status < OK;
    }

    @Override
    public boolean onData(ByteString data) {
        if (mRejection.isPresent()) {
            return true;
        }
        mRecorder.onData(data);
        mCall.sendChunk(data);
        return wantsMore();
    }

    @Override
    public boolean wantsMore() {
        return mContinuesAfterCancel || mCall.credit() > 0;
    }

    @Override
    public void onEnd() {
        if (mRejection.isPresent()) {
            reject(mRejection.get());
            return;
        }
        if (complete(CallOutcome.GOOD)) {
            mRecorder.onComplete();
            mCall.sendEnd(
                    mTime.since(mAdmittedNanos),
                    Duration.ofNanos(mAdmittedNanos - mRequestedNanos),
                    mAdmission.controller().load());
        }
    }

    private void reject(UpstreamHead head) {
        boolean busy = head.status() == TOO_MANY_REQUESTS || head.status() == UNAVAILABLE;
        ExecutionStatus ran = head.notRun() ? ExecutionStatus.NO : ExecutionStatus.UNKNOWN;
        String detail = "the upstream answered with status " + head.status();
        if (busy) {
            refuse(CallOutcome.BUSY, RefusalReason.UPSTREAM_BUSY, ran, detail, head.retryAfter());
        } else {
            refuse(
                    CallOutcome.FAILED,
                    RefusalReason.UPSTREAM_FAILED,
                    ran,
                    detail,
                    Optional.empty());
        }
    }

    @Override
    public void onFailure(UpstreamFailure failure) {
        if (failure.maybeSent()) {
            refuse(
                    CallOutcome.FAILED,
                    RefusalReason.UPSTREAM_FAILED,
                    ExecutionStatus.UNKNOWN,
                    failure.detail(),
                    Optional.empty());
        } else {
            refuse(
                    CallOutcome.UNREACHABLE,
                    RefusalReason.UPSTREAM_UNREACHABLE,
                    ExecutionStatus.NO,
                    failure.detail(),
                    Optional.empty());
        }
    }

    private void timeOut() {
        refuse(
                CallOutcome.TIMED_OUT,
                RefusalReason.DEADLINE_EXCEEDED,
                ExecutionStatus.UNKNOWN,
                "the deadline passed while the upstream was processing the call",
                Optional.empty());
        cancelExchange();
    }

    /**
     * Cancels the call on behalf of its entry. A claimed call that has been sent to the upstream
     * continues, and its response is recorded.
     */
    void cancel() {
        boolean started;
        synchronized (this) {
            if (mDone) {
                return;
            }
            started = mPermit != null;
            mDone = !started;
            mContinuesAfterCancel = started && mRecorder.continuesAfterCancel();
        }
        if (!started) {
            mRecorder.onNotRun();
        } else if (mContinuesAfterCancel) {
            resume();
        } else if (complete(CallOutcome.CANCELLED)) {
            mRecorder.onOutcomeUnknown();
            cancelExchange();
        }
    }

    private void resume() {
        UpstreamExchange exchange;
        synchronized (this) {
            exchange = mExchange;
        }
        if (exchange != null) {
            exchange.resume();
        }
    }

    private void recordRan(ExecutionStatus ran) {
        if (ran == ExecutionStatus.NO) {
            mRecorder.onNotRun();
        } else {
            mRecorder.onOutcomeUnknown();
        }
    }

    private void cancelExchange() {
        UpstreamExchange exchange;
        synchronized (this) {
            exchange = mExchange;
        }
        if (exchange != null) {
            exchange.cancel();
        }
    }

    private void refuse(
            CallOutcome outcome,
            RefusalReason reason,
            ExecutionStatus ran,
            String detail,
            Optional<Duration> retryAfter) {
        if (complete(outcome)) {
            recordRan(ran);
            mMetrics.refused(reason);
            log(reason, ran, detail);
            mCall.refuse(
                    new Refusal(reason, ran, detail, retryAfter), mAdmission.controller().load());
        }
    }

    private void log(RefusalReason reason, ExecutionStatus ran, String detail) {
        if (!LOGGER.isDebugEnabled()) {
            return;
        }
        try (var ignored =
                CloseableThreadContext.put("requestId", mCall.id().request().toString())
                        .put("team", mCall.message().getTeam())
                        .put("stage", Integer.toString(mCall.id().stage()))) {
            LOGGER.debug("call failed: {}, ran {}: {}", reason.label(), ran, detail);
        }
    }

    /** Ends the call; returns false if it had already ended. */
    private boolean complete(CallOutcome outcome) {
        AdmissionController.Permit permit;
        synchronized (this) {
            if (mDone) {
                return false;
            }
            mDone = true;
            permit = mPermit;
            if (mTimer != null) {
                mTimer.cancel();
            }
        }
        if (permit != null) {
            mMetrics.ended(outcome);
            permit.complete(outcome, mTime.since(mAdmittedNanos));
        }
        return true;
    }
}
