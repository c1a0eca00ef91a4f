package org.boragethread.entry.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import org.boragethread.model.outcome.Refusal;

/** Where the answer to one request goes. */
interface CallerSink {

    /** Begins an answer; its body follows. */
    void head(int status, HttpHeaders headers);

    /** Adds to the body; takes over the buffer. */
    void body(ByteBuf data);

    /** Completes the answer. */
    void end();

    /** Sends a whole answer; takes over the buffer. */
    void whole(int status, HttpHeaders headers, ByteBuf body);

    /** Sends a refusal of our own. */
    void refuse(Refusal refusal);

    /** Ends the connection, so that an answer which has begun does not look complete. */
    void abort();

    /** Tells whether the caller takes more data now. */
    boolean isWritable();
}
