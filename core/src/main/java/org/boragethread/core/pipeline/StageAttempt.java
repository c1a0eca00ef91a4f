package org.boragethread.core.pipeline;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.boragethread.core.dispatch.CallHandle;
import org.boragethread.core.dispatch.CallListener;
import org.boragethread.core.dispatch.CallSummary;
import org.boragethread.core.dispatch.StageCall;
import org.boragethread.core.dispatch.UpstreamLink;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.outcome.Ran;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.pipeline.Stage;
import org.boragethread.model.upstream.UpstreamId;

/**
 * One attempt at one stage: collects the result, or passes events on. Its connection calls it from
 * one thread at a time.
 */
final class StageAttempt implements CallListener {

    /** Greatest length of a result, in bytes. */
    static final int MAX_RESULT_BYTES = 16 << 20;

    private static final int OK = 200;
    private static final String EVENT_STREAM = "text/event-stream";
    private static final String TEXT = "text/plain; charset=utf-8";

    private final PipelineRun mRun;
    private final Stage mStage;
    private final UpstreamLink mLink;
    private final boolean mToCaller;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private final EventSplitter mSplitter = new EventSplitter();

    private long mStartNanos;
    private int mStatus;
    private String mContentType = "";
    private boolean mEvents;
    private boolean mEnded;
    private boolean mRefused;
    private Optional<CallHandle> mHandle = Optional.empty();
    private boolean mCancelled;

    StageAttempt(PipelineRun run, Stage stage, UpstreamLink link, boolean toCaller) {
        mRun = run;
        mStage = stage;
        mLink = link;
        mToCaller = toCaller;
    }

    void begin(StageCall call, TimeSource time) {
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

    /** Requests one more chunk. */
    void grantOne() {
        Optional<CallHandle> handle;
        synchronized (this) {
            handle = mHandle;
        }
        handle.ifPresent(granted -> granted.grant(1));
    }

    @Override
    public void onHead(int status, String contentType) {
        mStatus = status;
        mContentType = contentType;
        mEvents = status == OK && contentType.startsWith(EVENT_STREAM);
    }

    @Override
    public void onChunk(ByteBuffer data) {
        if (mRefused) {
            return;
        }
        if (mEvents) {
            onEvents(data);
            return;
        }
        append(data);
        grantOne();
    }

    private void append(ByteBuffer data) {
        byte[] bytes = new byte[data.remaining()];
        data.get(bytes);
        mBody.writeBytes(bytes);
        if (mBody.size() > MAX_RESULT_BYTES) {
            refuse("the result is longer than %d bytes".formatted(MAX_RESULT_BYTES));
        }
    }

    private void onEvents(ByteBuffer data) {
        boolean passedOn = false;
        for (ServerEvent event : mSplitter.add(data)) {
            if (event.isEnd()) {
                mEnded = true;
            } else if (mToCaller) {
                mRun.onEvent(this, event, passedOn ? () -> {} : this::grantOne);
                passedOn = true;
            } else if (event.isToken()) {
                append(ByteBuffer.wrap(event.data().getBytes(StandardCharsets.UTF_8)));
            }
        }
        if (!passedOn) {
            grantOne();
        }
    }

    private void refuse(String detail) {
        mRefused = true;
        cancel();
        mRun.onRefused(
                this,
                new Refusal(
                        RefusalReason.UPSTREAM_FAILED,
                        Ran.UNKNOWN,
                        "stage \"%s\": %s".formatted(mStage.name(), detail),
                        Optional.empty()));
    }

    @Override
    public void onEnd(CallSummary summary) {
        if (mRefused) {
            return;
        }
        if (mEvents && !mEnded) {
            refuse("the stream ended without its end mark");
            return;
        }
        String type = mEvents ? TEXT : mContentType;
        boolean streamed = mEvents && mToCaller;
        mRun.onResult(this, new StageResult(mStatus, type, mBody.toByteArray(), streamed));
    }

    @Override
    public void onRefused(Refusal refusal) {
        if (!mRefused) {
            mRun.onRefused(this, refusal);
        }
    }
}
