package org.boragethread.core.pipeline;

/** Handle of a request in progress. */
public interface RunHandle {

    /** Cancels the request because its caller has disconnected; its sink is not called again. */
    void cancel();
}
