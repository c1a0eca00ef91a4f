package org.boragethread.agent.upstream;

import com.google.protobuf.ByteString;

/**
 * Receives the response to one request. Exactly one of {@link #onEnd} and {@link #onFailure} is
 * called, as the last callback, unless the request is cancelled.
 */
public interface UpstreamListener {

    /** Called when status and headers have arrived. */
    void onHead(UpstreamHead head);

    /**
     * Called when a part of the body has arrived.
     *
     * @return whether to continue reading; if not, reading pauses until {@link
     *     UpstreamExchange#resume}
     */
    boolean onData(ByteString data);

    /**
     * Returns whether more data can be accepted. Also called right after reading has paused, so
     * that a change of state in between does not leave the response paused.
     */
    boolean wantsMore();

    /** Called when the response is complete. */
    void onEnd();

    /** Called when no complete response will arrive. */
    void onFailure(UpstreamFailure failure);
}
