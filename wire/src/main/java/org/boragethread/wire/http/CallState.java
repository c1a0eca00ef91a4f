package org.boragethread.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpResponse;

/** State of one call in progress. Confined to the event loop. */
final class CallState implements CallControl {

    private final HttpCall mCall;
    private final CallListener mListener;
    private Channel mChannel;
    private boolean mSent;
    private boolean mEnded;

    CallState(HttpCall call, CallListener listener) {
        mCall = call;
        mListener = listener;
    }

    HttpCall call() {
        return mCall;
    }

    void attach(Channel channel) {
        mChannel = channel;
    }

    boolean isEnded() {
        return mEnded;
    }

    void markSent() {
        mSent = true;
    }

    void head(HttpResponse head) {
        if (!mEnded) {
            mListener.onHead(head);
        }
    }

    void body(ByteBuf data) {
        if (!mEnded) {
            mListener.onBody(data);
        }
    }

    void end() {
        if (!mEnded) {
            mEnded = true;
            mListener.onEnd();
        }
    }

    void fail(CallFailure.Kind kind, String detail) {
        if (!mEnded) {
            mEnded = true;
            mListener.onFailure(new CallFailure(kind, mSent, detail));
        }
    }

    void failUnsent(String detail) {
        mCall.request().release();
        fail(CallFailure.Kind.CONNECT, detail);
    }

    @Override
    public void cancel() {
        if (!mEnded) {
            mEnded = true;
            HttpConnections.closeQuietly(mChannel);
        }
    }

    @Override
    public void setReading(boolean reading) {
        if (!mEnded && mChannel != null) {
            mChannel.config().setAutoRead(reading);
        }
    }
}
