package org.boragethread.core.dispatch;

/** Lets the sender control a call in progress. */
public interface CallHandle {

    /** Cancels the call; its listener is not called again. */
    void cancel();

    /** Permits the agent to send the given number of further chunks, for flow control. */
    void grant(int chunks);
}
