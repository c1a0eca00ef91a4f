package org.boragethread.standins.proxy;

import io.netty.buffer.ByteBuf;

/** A fault at work on one direction of one connection; called on the connection's event loop. */
public interface Flow {

    /** Passes bytes on, changes them or drops them; takes over the buffer. */
    void pass(ByteBuf bytes, Outlet outlet);

    /** Handles the end of the direction; by default passes it on. */
    default void end(Outlet outlet) {
        outlet.end();
    }
}
