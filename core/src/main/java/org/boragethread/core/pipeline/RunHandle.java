package org.boragethread.core.pipeline;

/** A request in progress. */
public interface RunHandle {

    /** Withdraws the request because its caller went away; its sink is not called afterwards. */
    void cancel();
}
