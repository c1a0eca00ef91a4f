package org.boragethread.core.dispatch;

/** A call in progress, as its sender controls it. */
public interface CallHandle {

    /** Withdraws the call; its listener is not called afterwards. */
    void cancel();

    /** Lets the agent send more chunks. */
    void grant(int chunks);
}
