package org.boragethread.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response to one call. Called on the event loop; no method is called after {@link
 * #onEnd} or {@link #onFailure}.
 */
public interface CallListener {

    /** Called when a connection was established for the call; not if an open one is used. */
    default void onConnected() {}

    /** Called with the head of the response. */
    void onHead(HttpResponse head);

    /** Called with the next part of the body; the buffer is valid only during this invocation. */
    void onBody(ByteBuf data);

    /** Called when the response is complete. */
    void onEnd();

    /** Called when the call fails before its response is complete. */
    void onFailure(CallFailure failure);
}
