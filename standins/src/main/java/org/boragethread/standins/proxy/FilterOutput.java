package org.boragethread.standins.proxy;

import io.netty.buffer.ByteBuf;
import java.util.concurrent.TimeUnit;

/** Output of a fault's filter; used on the connection's event loop. */
public interface FilterOutput {

    /** Sends bytes; takes ownership of the buffer. */
    void write(ByteBuf bytes);

    /** Shuts down this direction; the other one stays open. */
    void end();

    /** Closes both channels after pending writes are flushed. */
    void closeConnection();

    /** Resets both channels. */
    void resetConnection();

    /** Runs an action on the event loop after a delay. */
    void schedule(long delay, TimeUnit unit, Runnable action);
}
