package org.boragethread.standins.proxy;

import io.netty.buffer.ByteBuf;
import java.util.concurrent.TimeUnit;

/** Where a flow's bytes go; used on the connection's event loop. */
public interface Outlet {

    /** Sends bytes; takes over the buffer. */
    void write(ByteBuf bytes);

    /** Sends the end of this direction; the other direction stays open. */
    void end();

    /** Closes both sides after the bytes already sent. */
    void cut();

    /** Resets both sides. */
    void reset();

    /** Runs an action on the event loop after some time. */
    void later(long delay, TimeUnit unit, Runnable action);
}
