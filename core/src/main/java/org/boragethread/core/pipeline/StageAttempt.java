package org.boragethread.core.pipeline;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.dispatch.CallHandle;
import org.boragethread.core.dispatch.CallListener;
import org.boragethread.core.dispatch.CallSummary;
import org.boragethread.core.dispatch.StageCall;
import org.boragethread.core.dispatch.UpstreamLink;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.claim.ClaimOutcome;
import org.boragethread.model.outcome.ExecutionStatus;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.pipeline.Stage;
import org.boragethread.model.upstream.UpstreamId;

/**
 * One attempt to run a stage. Collects the result, or forwards its events to the caller. The
 * connection calls it from one thread at a time.
 */
final class StageAttempt implements CallListener {

    /** Maximum length of a result, in bytes. */
    static final int MAX_RESULT_BYTES = 16 << 20;

    private static final CallSummary NO_TIMES = new CallSummary(Duration.ZERO, Duration.ZERO);
    private static final int OK = 200;
    private static final String EVENT_STREAM = "text/event-stream";
    private static final String TEXT = "text/plain; charset=utf-8";

    private final PipelineRun mRun;
    private final Stage mStage;
    private final UpstreamLink mLink;
    private final boolean mStreamsToCaller;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private final ServerSentEventParser mEventParser = new ServerSentEventParser();

    private long mStartNanos;
    private int mStatus;
    private String mContentType = "";
    private boolean mIsEventStream;
    private boolean mEndMarkerReceived;
    private boolean mRefused;
    private Optional<CallHandle> mHandle = Optional.empty();
    private boolean mCancelled;
    private boolean mIsReplay;

    StageAttempt(PipelineRun run, Stage stage, UpstreamLink link, boolean streamsToCaller) {
        mRun = run;
        mStage = stage;
        mLink = link;
        mStreamsToCaller = streamsToCaller;
    }

    void start(StageCall call, TimeSource time) {
        mStartNanos = time.nanoTime();
        CallHandle handle = mLink.call(call, this);
        boolean cancelled;
        synchronized (this) {
            mHandle = Optional.of(handle);
            cancelled = mCancelled;
        }
        if (cancelled) {
            handle.cancel();
        }
    }

    /** Uses a recorded response instead of sending a call. */
    void replay(ClaimOutcome outcome) {
        mIsReplay = true;
        if (outcome.body().isEmpty()) {
            StageResult withoutBody =
                    new StageResult(outcome.status(), outcome.contentType(), new byte[0], false);
            mRun.onResult(this, withoutBody);
            return;
        }
        onHead(outcome.status(), outcome.contentType());
        onChunk(ByteBuffer.wrap(outcome.body().get()));
        onEnd(NO_TIMES);
    }

    /** Returns whether the response is a recorded one. */
    boolean isReplay() {
        return mIsReplay;
    }

    UpstreamId upstream() {
        return mLink.upstream();
    }

    long startNanos() {
        return mStartNanos;
    }

    void cancel() {
        Optional<CallHandle> handle;
        synchronized (this) {
            mCancelled = true;
            handle = mHandle;
        }
        handle.ifPresent(CallHandle::cancel);
    }

    /** Allows the agent to send one more chunk. */
    void requestChunk() {
        Optional<CallHandle> handle;
        synchronized (this) {
            handle = mHandle;
        }
        handle.ifPresent(call -> call.grant(1));
    }

    @Override
    public void onHead(int status, String contentType) {
        mStatus = status;
        mContentType = contentType;
        mIsEventStream = status == OK && contentType.startsWith(EVENT_STREAM);
    }

    @Override
    public void onChunk(ByteBuffer data) {
        if (mRefused) {
            return;
        }
        if (mIsEventStream) {
            processEvents(data);
            return;
        }
        append(data);
        requestChunk();
    }

    private void append(ByteBuffer data) {
        byte[] bytes = new byte[data.remaining()];
        data.get(bytes);
        mBody.writeBytes(bytes);
        if (mBody.size() > MAX_RESULT_BYTES) {
            refuse("the result is longer than %d bytes".formatted(MAX_RESULT_BYTES));
        }
    }

    private void processEvents(ByteBuffer data) {
        boolean forwarded = false;
        for (ServerSentEvent event : mEventParser.parse(data)) {
            if (event.isEndMarker()) {
                mEndMarkerReceived = true;
            } else if (mStreamsToCaller) {
                mRun.onEvent(this, event, forwarded ? () -> {} : this::requestChunk);
                forwarded = true;
            } else if (event.isToken()) {
                append(ByteBuffer.wrap(event.data().getBytes(StandardCharsets.UTF_8)));
            }
        }
        if (!forwarded) {
            requestChunk();
        }
    }

    private void refuse(String detail) {
        mRefused = true;
        cancel();
        mRun.onRefused(
                this,
                new Refusal(
                        RefusalReason.UPSTREAM_FAILED,
                        ExecutionStatus.UNKNOWN,
                        "stage \"%s\": %s".formatted(mStage.name(), detail),
                        Optional.empty()));
    }

    @Override
    public void onEnd(CallSummary summary) {
        if (mRefused) {
            return;
        }
        if (mIsEventStream && !mEndMarkerReceived) {
            refuse("the stream ended without its end mark");
            return;
        }
        String type = mIsEventStream ? TEXT : mContentType;
        boolean streamed = mIsEventStream && mStreamsToCaller;
        mRun.onResult(this, new StageResult(mStatus, type, mBody.toByteArray(), streamed));
    }

    @Override
    public void onRefused(Refusal refusal) {
        if (!mRefused) {
            mRun.onRefused(this, refusal);
        }
    }
}
