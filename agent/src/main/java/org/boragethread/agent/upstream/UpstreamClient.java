package org.boragethread.agent.upstream;

/** Sends requests to one upstream. */
public interface UpstreamClient extends AutoCloseable {

    /** Sends a request; the listener is called on the client's threads, or on this one. */
    UpstreamExchange send(UpstreamRequest request, UpstreamListener listener);

    /** Closes all connections. */
    @Override
    void close();
}
