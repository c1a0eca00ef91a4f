package org.boragethread.entry.gateway;

import io.netty.buffer.ByteBuf;
import org.boragethread.core.upstream.UpstreamNode;

/** Receives the outcome of one attempt at an upstream. */
interface AttemptListener {

    /** The upstream responded that it did not run the request. */
    void onNotExecuted(UpstreamNode node, int status);

    /** The request was not sent, because no connection could be established. */
    void onNotSent(UpstreamNode node, UnsentAttempt unsent);

    /** The head of a successful response arrived; nothing of its body is known yet. */
    default void onSuccessHead() {}

    /** A part of a body that is held until it is complete has arrived. */
    default void onBuffered() {}

    /** The attempt failed before any of its response was forwarded; the request may have run. */
    void onFailed(UpstreamNode node, String detail);

    /** The attempt failed after a part of its response was forwarded. */
    void onStreamBroken(UpstreamNode node, String detail);

    /** The upstream ran the request and the response is complete; the listener owns the body. */
    void onResponse(UpstreamNode node, int status, ByteBuf body);

    /** A successful response starts; its body is forwarded as it arrives. */
    void onStreamHead(UpstreamNode node, int status);

    /** A part of the streamed body; the buffer is valid during the call only. */
    void onStreamData(ByteBuf data);

    /** The streamed body is complete. */
    void onStreamEnd(UpstreamNode node);
}
