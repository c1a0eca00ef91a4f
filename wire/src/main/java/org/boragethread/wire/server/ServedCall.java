package org.boragethread.wire.server;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.boragethread.model.outcome.AttemptId;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.team.Priority;
import org.boragethread.model.upstream.UpstreamLoad;
import org.boragethread.wire.frame.ProtoConversions;
import org.boragethread.wire.proto.Call;
import org.boragethread.wire.proto.Frame;
import org.boragethread.wire.proto.ResultChunk;
import org.boragethread.wire.proto.ResultEnd;
import org.boragethread.wire.proto.ResultHead;

/**
 * A call as its handler sees it. Methods may be called from any thread; nothing is sent after the
 * end, a refusal or a cancellation.
 */
public final class ServedCall {

    private final Call mCall;
    private final AttemptId mId;
    private final long mDeadlineNanos;
    private final AgentChannel mChannel;

    private Runnable mOnCancel = () -> {};
    private Runnable mOnCredit = () -> {};
    private int mCredit;
    private int mChunks;
    private long mBytes;
    private State mState = State.OPEN;

    ServedCall(Call call, long deadlineNanos, AgentChannel channel) {
        mCall = call;
        mId = ProtoConversions.fromProto(call.getId());
        mDeadlineNanos = deadlineNanos;
        mCredit = call.getCredit();
        mChannel = channel;
    }

    /** Returns the message as received. */
    public Call message() {
        return mCall;
    }

    /** Returns the identity of the attempt. */
    public AttemptId id() {
        return mId;
    }

    /** Returns the order among waiting calls. */
    public Priority priority() {
        return ProtoConversions.fromProto(mCall.getPriority());
    }

    /** Returns the monotonic time by which the answer must be whole, in nanoseconds. */
    public long deadlineNanos() {
        return mDeadlineNanos;
    }

    /**
     * Sets what to do when the entry withdraws the call or its connection ends. Runs at once if
     * that has happened.
     */
    public void onCancel(Runnable action) {
        boolean cancelled;
        synchronized (this) {
            cancelled = mState == State.CANCELLED;
            mOnCancel = action;
        }
        if (cancelled) {
            action.run();
        }
    }

    /** Sets what to do when the entry allows more chunks after there were none left. */
    public synchronized void onCredit(Runnable action) {
        mOnCredit = action;
    }

    /** Returns the number of chunks that may be sent now. */
    public synchronized int credit() {
        return mCredit;
    }

    /** Sends the beginning of the answer. */
    public synchronized void head(int status, String contentType) {
        if (mState != State.OPEN) {
            return;
        }
        ResultHead head =
                ResultHead.newBuilder()
                        .setId(mCall.getId())
                        .setStatus(status)
                        .setContentType(contentType)
                        .build();
        mChannel.send(Frame.newBuilder().setResultHead(head));
    }

    /** Sends the next part of the answer and uses up one credit. */
    public synchronized void chunk(ByteString data) {
        if (mState != State.OPEN) {
            return;
        }
        ResultChunk chunk =
                ResultChunk.newBuilder()
                        .setId(mCall.getId())
                        .setSequence(mChunks)
                        .setData(data)
                        .build();
        mChunks++;
        mBytes += data.size();
        mCredit--;
        mChannel.send(Frame.newBuilder().setResultChunk(chunk));
    }

    /** Sends the end mark. */
    public void end(Duration service, Duration queue, UpstreamLoad load) {
        synchronized (this) {
            if (mState != State.OPEN) {
                return;
            }
            mState = State.ENDED;
        }
        ResultEnd end =
                ResultEnd.newBuilder()
                        .setId(mCall.getId())
                        .setChunks(mChunks)
                        .setBytes(mBytes)
                        .setLoad(ProtoConversions.toProto(load))
                        .setServiceMicros(TimeUnit.NANOSECONDS.toMicros(service.toNanos()))
                        .setQueueMicros(TimeUnit.NANOSECONDS.toMicros(queue.toNanos()))
                        .build();
        mChannel.finish(this, Frame.newBuilder().setResultEnd(end));
    }

    /** Answers that there is no whole answer. */
    public void refuse(Refusal refusal, UpstreamLoad load) {
        synchronized (this) {
            if (mState != State.OPEN) {
                return;
            }
            mState = State.ENDED;
        }
        Frame.Builder frame =
                Frame.newBuilder().setCallRefused(ProtoConversions.toProto(mId, refusal, load));
        mChannel.finish(this, frame);
    }

    void grant(int chunks) {
        Runnable action;
        synchronized (this) {
            boolean blocked = mCredit <= 0;
            mCredit += chunks;
            action = blocked && mCredit > 0 ? mOnCredit : () -> {};
        }
        action.run();
    }

    void cancel() {
        Runnable action;
        synchronized (this) {
            if (mState != State.OPEN) {
                return;
            }
            mState = State.CANCELLED;
            action = mOnCancel;
        }
        action.run();
    }

    private enum State {
        OPEN,
        ENDED,
        CANCELLED
    }
}
