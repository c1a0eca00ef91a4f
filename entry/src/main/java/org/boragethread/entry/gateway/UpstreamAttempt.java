package org.boragethread.entry.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.platform.store.PlatformHeaders;
import org.boragethread.wire.http.CallControl;
import org.boragethread.wire.http.CallFailure;
import org.boragethread.wire.http.CallListener;
import org.boragethread.wire.http.HttpCall;
import org.boragethread.wire.http.HttpConnections;

/** One attempt to have a request run by one upstream. */
final class UpstreamAttempt implements CallListener {

    private static final int MISDIRECTED = 421;

    /** Answers up to this size are passed on whole, so that a broken one can be replaced. */
    private static final int MAX_HELD_BYTES = 256 << 10;

    private final UpstreamNode mNode;
    private final boolean mStreaming;
    private final AttemptListener mListener;
    private final long mSentAt;
    private double mPromptMillis;
    private CallControl mControl;
    private int mStatus;
    private HttpHeaders mHeaders;
    private ByteBuf mHeld = Unpooled.EMPTY_BUFFER;
    private boolean mPassedOn;
    private boolean mEnded;

    /**
     * Makes an attempt that has not started.
     *
     * @param promptMillis time that the upstream needs to read the prompt
     */
    UpstreamAttempt(
            UpstreamNode node,
            boolean streaming,
            AttemptListener listener,
            long sentAt,
            double promptMillis) {
        mNode = node;
        mStreaming = streaming;
        mListener = listener;
        mSentAt = sentAt;
        mPromptMillis = promptMillis;
    }

    void start(HttpConnections connections, HttpCall call) {
        mNode.onSent(mSentAt);
        mControl = connections.send(call, this);
    }

    UpstreamNode node() {
        return mNode;
    }

    long sentAt() {
        return mSentAt;
    }

    /** Tells whether a part of the answer was passed on. */
    boolean isPassedOn() {
        return mPassedOn;
    }

    /** Gives the attempt up, so that the upstream stops work on it. */
    void cancel() {
        if (mEnded) {
            return;
        }
        end();
        mControl.cancel();
    }

    void setReading(boolean reading) {
        mControl.setReading(reading);
    }

    @Override
    public void onHead(HttpResponse head) {
        if (mEnded) {
            return;
        }
        mStatus = head.status().code();
        mHeaders = head.headers();
        boolean refused = mStatus == MISDIRECTED || mHeaders.contains(PlatformHeaders.NOT_EXECUTED);
        if (refused) {
            end();
            mListener.onNotExecuted(mNode, mStatus);
            return;
        }
        boolean success = head.status().codeClass() == HttpStatusClass.SUCCESS;
        if (success && !mHeaders.contains(PlatformHeaders.SEAL)) {
            cancel();
            mListener.onBroken(mNode, "a success without a signature");
        }
    }

    @Override
    public void onBody(ByteBuf data) {
        if (mEnded) {
            return;
        }
        boolean success = HttpStatusClass.valueOf(mStatus) == HttpStatusClass.SUCCESS;
        boolean large = mHeld.readableBytes() + data.readableBytes() > MAX_HELD_BYTES;
        if (!mPassedOn && success && (mStreaming || large)) {
            passOn();
        }
        if (mPassedOn) {
            mListener.onStreamData(data);
            return;
        }
        if (mHeld == Unpooled.EMPTY_BUFFER) {
            mHeld = Unpooled.buffer(data.readableBytes());
        }
        mHeld.writeBytes(data);
    }

    private void passOn() {
        mPassedOn = true;
        onPromptRead();
        mListener.onStreamHead(mNode, mStatus, mHeaders);
        if (mHeld.isReadable()) {
            mListener.onStreamData(mHeld);
        }
    }

    @Override
    public void onEnd() {
        if (mEnded) {
            return;
        }
        end();
        if (mPassedOn) {
            mListener.onStreamEnd(mNode);
        } else {
            mListener.onAnswer(mNode, mStatus, mHeaders, mHeld);
        }
    }

    @Override
    public void onFailure(CallFailure failure) {
        if (mEnded) {
            return;
        }
        end();
        if (!failure.sent()) {
            mListener.onUnsent(mNode, failure.detail());
        } else if (mPassedOn) {
            mListener.onCut(mNode, failure.detail());
        } else {
            mListener.onBroken(mNode, failure.detail());
        }
    }

    private void onPromptRead() {
        mNode.prompts().onPromptDone(mPromptMillis);
        mPromptMillis = 0;
    }

    private void end() {
        mEnded = true;
        onPromptRead();
        mNode.onEnded();
    }
}
