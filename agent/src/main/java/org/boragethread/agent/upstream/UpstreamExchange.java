package org.boragethread.agent.upstream;

/** A request in progress. */
public interface UpstreamExchange {

    /** Closes the connection, which cancels the work; the listener is not called afterwards. */
    void cancel();

    /** Goes on reading after the listener stopped it. */
    void resume();
}
