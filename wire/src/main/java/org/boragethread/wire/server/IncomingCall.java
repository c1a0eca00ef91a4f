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
 * A received call, through which its handler responds. Thread-safe. Nothing is sent after the end
 * of the response, a refusal or a cancellation.
 */
public final class IncomingCall {

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

    IncomingCall(Call call, long deadlineNanos, AgentChannel channel) {
        mCall = call;
        mId = ProtoConversions.fromProto(call.getId());
        mDeadlineNanos = deadlineNanos;
        mCredit = call.getCredit();
        mChannel = channel;
    }

    /** Returns the received message. */
    public Call message() {
        return mCall;
    }

    /** Returns the attempt id. */
    public AttemptId id() {
        return mId;
    }

    /** Returns the priority of the call. */
    public Priority priority() {
        return ProtoConversions.fromProto(mCall.getPriority());
    }

    /** Returns the monotonic time by which the response must be complete, in nanoseconds. */
    public long deadlineNanos() {
        return mDeadlineNanos;
    }

    /**
     * Sets the action to run when the entry cancels the call or its connection is closed. Runs it
     * immediately if this has already happened.
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

    /** Sets the action to run when the entry grants credit after all credit was used. */
    public synchronized void onCredit(Runnable action) {
        mOnCredit = action;
    }

    /** Returns the number of chunks that the entry currently permits. */
    public synchronized int credit() {
        return mCredit;
    }

    /** Sends the head of the response. */
    public synchronized void sendHead(int status, String contentType) {
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

    /** Sends the next chunk of the response, which uses one credit. */
    public synchronized void sendChunk(ByteString data) {
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

    /** Sends the end of the response. */
    public void sendEnd(Duration service, Duration queue, UpstreamLoad load) {
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

    /** Refuses the call, or ends it without a complete response. */
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

    void addCredit(int chunks) {
        Runnable action;
        synchronized (this) {
            boolean wasBlocked = mCredit <= 0;
            mCredit += chunks;
            action = wasBlocked && mCredit > 0 ? mOnCredit : () -> {};
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
