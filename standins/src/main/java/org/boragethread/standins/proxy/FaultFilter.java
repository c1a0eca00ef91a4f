package org.boragethread.standins.proxy;

import io.netty.buffer.ByteBuf;

/** Applies a fault to one direction of one connection; called on the connection's event loop. */
public interface FaultFilter {

    /** Forwards, changes or drops bytes; takes ownership of the buffer. */
    void filter(ByteBuf bytes, FilterOutput output);

    /** Handles the end of the direction; forwards it by default. */
    default void end(FilterOutput output) {
        output.end();
    }
}
