package org.boragethread.agent.upstream;

/** A request in progress and its response. */
public interface UpstreamExchange {

    /**
     * Cancels the request by closing its connection. The listener is not called for the end of a
     * cancelled request.
     */
    void cancel();

    /** Resumes reading of the response after the listener has paused it. */
    void resume();
}
