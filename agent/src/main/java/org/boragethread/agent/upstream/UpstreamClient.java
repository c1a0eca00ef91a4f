package org.boragethread.agent.upstream;

/** Sends requests to one upstream. */
public interface UpstreamClient extends AutoCloseable {

    /**
     * Sends a request without blocking. The listener is called on the threads of the client or on
     * the calling thread.
     */
    UpstreamExchange send(UpstreamRequest request, UpstreamListener listener);

    /** Stops the client and closes all connections. */
    @Override
    void close();
}
