package org.boragethread.wire.server;

/** Handles the calls that an agent receives. Called on event loops; must not block. */
public interface CallHandler {

    /** Handles a call. The handler responds through the given object, from any thread. */
    void onCall(IncomingCall call);
}
