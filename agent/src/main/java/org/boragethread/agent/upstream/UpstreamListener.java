package org.boragethread.agent.upstream;

import com.google.protobuf.ByteString;

/**
 * Receives the response to one request. Exactly one of {@link #onEnd} and {@link #onFailure} is
 * called, and nothing after it.
 */
public interface UpstreamListener {

    /** Status and headers have arrived. */
    void onHead(UpstreamHead head);

    /**
     * A part of the body has arrived.
     *
     * @return whether to go on reading; if not, {@link UpstreamExchange#resume} goes on later
     */
    boolean onData(ByteString data);

    /** Tells whether to read on now; asked again just after reading has stopped. */
    boolean wantsMore();

    /** The body is whole. */
    void onEnd();

    /** There is no whole response. */
    void onFailure(UpstreamFailure failure);
}
