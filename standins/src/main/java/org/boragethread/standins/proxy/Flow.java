package org.boragethread.standins.proxy;

import io.netty.buffer.ByteBuf;

/** Applies a fault to one direction of one connection; called on the connection's event loop. */
public interface Flow {

    /** Forwards, changes or drops bytes; takes ownership of the buffer. */
    void pass(ByteBuf bytes, Outlet output);

    /** Handles the end of the direction; forwards it by default. */
    default void end(Outlet output) {
        output.end();
    }
}
