package org.boragethread.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the response of one call, on the event loop. Nothing follows an end or a failure. */
public interface CallListener {

    /** The head of the response has arrived. */
    void onHead(HttpResponse head);

    /** A part of the body has arrived; the buffer is valid during the call only. */
    void onBody(ByteBuf data);

    /** The response is complete. */
    void onEnd();

    /** There will be no complete response. */
    void onFailure(CallFailure failure);
}
