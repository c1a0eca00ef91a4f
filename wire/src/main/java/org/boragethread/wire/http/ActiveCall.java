package org.boragethread.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Consumer;
import org.boragethread.core.callback.CallbackGuard;

/** State of one call in progress. Confined to the event loop. */
final class ActiveCall implements CallControl {

    private final HttpCall mCall;
    private final CallListener mListener;
    private final CallbackGuard mGuard;
    private final CallbackGuard.Owner mOwner;
    private final Consumer<ActiveCall> mOnEnded;
    private Channel mChannel;
    private boolean mMaybeSent;
    private boolean mEnded;

    /**
     * Creates the state of a call whose listener acts for the present owner of callbacks.
     *
     * @param onEnded called when the call has ended, before its listener is
     */
    ActiveCall(
            HttpCall call,
            CallListener listener,
            CallbackGuard guard,
            Consumer<ActiveCall> onEnded) {
        mCall = call;
        mListener = listener;
        mGuard = guard;
        mOwner = guard.current();
        mOnEnded = onEnded;
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

    void deliverConnected() {
        deliver(mListener::onConnected);
    }

    void deliverHead(HttpResponse head) {
        deliver(() -> mListener.onHead(head));
    }

    void deliverBody(ByteBuf data) {
        deliver(() -> mListener.onBody(data));
    }

    /** Delivers a part of the response; the call fails if the listener throws. */
    private void deliver(Runnable delivery) {
        if (!mEnded && !mGuard.run(mOwner, delivery)) {
            abort(CallFailure.Kind.LISTENER, "the receiver of the response failed");
        }
    }

    void complete() {
        if (!mEnded) {
            end();
            mGuard.run(mOwner, mListener::onEnd);
        }
    }

    void fail(CallFailure.Kind kind, String detail) {
        if (!mEnded) {
            end();
            CallFailure failure = new CallFailure(kind, mMaybeSent, detail);
            mGuard.run(mOwner, () -> mListener.onFailure(failure));
        }
    }

    void failBeforeSending(CallFailure.Kind kind, String detail) {
        mCall.request().release();
        fail(kind, detail);
    }

    /** Closes the connection, if there is one, and fails. */
    void abort(CallFailure.Kind kind, String detail) {
        if (!mEnded) {
            HttpConnectionPool.closeIfPresent(mChannel);
            fail(kind, detail);
        }
    }

    @Override
    public void cancel() {
        if (!mEnded) {
            end();
            HttpConnectionPool.closeIfPresent(mChannel);
        }
    }

    @Override
    public void setReading(boolean reading) {
        if (!mEnded && mChannel != null) {
            mChannel.config().setAutoRead(reading);
        }
    }

    private void end() {
        mEnded = true;
        mOnEnded.accept(this);
    }
}
