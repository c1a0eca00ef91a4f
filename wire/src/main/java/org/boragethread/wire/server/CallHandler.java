package org.boragethread.wire.server;

/** Runs the calls that an agent receives. Called on event loops; must not block. */
public interface CallHandler {

    /** Takes a call; the handler answers through it, from any thread. */
    void onCall(ServedCall call);
}
