package org.boragethread.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Consumer;

/** Records how a call fails. */
final class FailureListener implements CallListener {

    private final Consumer<String> mTrace;

    FailureListener(Consumer<String> trace) {
        mTrace = trace;
    }

    @Override
    public void onHead(HttpResponse head) {
        mTrace.accept("head");
    }

    @Override
    public void onBody(ByteBuf data) {
        mTrace.accept("body");
    }

    @Override
    public void onEnd() {
        mTrace.accept("end");
    }

    @Override
    public void onFailure(CallFailure failure) {
        mTrace.accept(failure.kind() + (failure.maybeSent() ? " maybe sent" : " not sent"));
    }
}
