package org.boragethread.entry.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import org.boragethread.core.upstream.UpstreamNode;

/** Learns how one attempt at an upstream goes. */
interface AttemptListener {

    /** The upstream states that it did not run the request. */
    void onNotExecuted(UpstreamNode node, int status);

    /** The request was not sent, because no connection could be opened. */
    void onUnsent(UpstreamNode node, String detail);

    /** The attempt broke before any of its answer was passed on; the request may have run. */
    void onBroken(UpstreamNode node, String detail);

    /** The attempt broke after a part of its answer was passed on. */
    void onCut(UpstreamNode node, String detail);

    /** The upstream ran the request and answered; the listener owns the body. */
    void onAnswer(UpstreamNode node, int status, HttpHeaders headers, ByteBuf body);

    /** A successful answer begins that is passed on as it arrives. */
    void onStreamHead(UpstreamNode node, int status, HttpHeaders headers);

    /** A part of that answer; valid during the call only. */
    void onStreamData(ByteBuf data);

    /** That answer is complete. */
    void onStreamEnd(UpstreamNode node);
}
