package org.boragethread.entry.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import org.boragethread.model.outcome.Refusal;

/** Writes the response to one request to its caller. */
interface CallerResponseWriter {

    /** Starts a streamed response; its body follows. */
    void sendHead(int status, HttpHeaders headers);

    /** Appends to the body; takes ownership of the buffer. */
    void sendBody(ByteBuf data);

    /** Completes a streamed response. */
    void sendEnd();

    /** Sends a complete response; takes ownership of the buffer. */
    void sendResponse(int status, HttpHeaders headers, ByteBuf body);

    /** Responds with a refusal by the gateway itself. */
    void refuse(Refusal refusal);

    /** Closes the connection, so that a partial response does not look complete. */
    void abort();

    /** Returns whether more data can be sent without being buffered. */
    boolean isWritable();
}
