package org.boragethread.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpResponse;

/** State of one call in progress. Confined to the event loop. */
final class ActiveCall implements CallControl {

    private final HttpCall mCall;
    private final CallListener mListener;
    private Channel mChannel;
    private boolean mMaybeSent;
    private boolean mEnded;

    ActiveCall(HttpCall call, CallListener listener) {
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

    void markMaybeSent() {
        mMaybeSent = true;
    }

    void deliverHead(HttpResponse head) {
        if (!mEnded) {
            mListener.onHead(head);
        }
    }

    void deliverBody(ByteBuf data) {
        if (!mEnded) {
            mListener.onBody(data);
        }
    }

    void complete() {
        if (!mEnded) {
            mEnded = true;
            mListener.onEnd();
        }
    }

    void fail(CallFailure.Kind kind, String detail) {
        if (!mEnded) {
            mEnded = true;
            mListener.onFailure(new CallFailure(kind, mMaybeSent, detail));
        }
    }

    void failBeforeSending(String detail) {
        mCall.request().release();
        fail(CallFailure.Kind.CONNECT, detail);
    }

    @Override
    public void cancel() {
        if (!mEnded) {
            mEnded = true;
            HttpConnectionPool.closeIfPresent(mChannel);
        }
    }

    @Override
    public void setReading(boolean reading) {
        if (!mEnded && mChannel != null) {
            mChannel.config().setAutoRead(reading);
        }
    }
}
