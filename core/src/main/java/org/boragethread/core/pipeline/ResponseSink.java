package org.boragethread.core.pipeline;

import java.nio.ByteBuffer;
import org.boragethread.model.outcome.Refusal;

/**
 * Receives the response to a request. Exactly one of {@link #onResponse}, {@link #onStreamEnd} and
 * {@link #onRefused} is called, and no method after it.
 */
public interface ResponseSink {

    /** Called with the complete response, if it is not streamed. */
    void onResponse(PipelineResponse response);

    /** Called before the first event of a stream. */
    void onStreamStart();

    /**
     * Called with the next event of the stream.
     *
     * @param event the event, including the blank line that ends it
     * @param onSent must be run once the event has been sent, to request further data
     */
    void onStreamEvent(ByteBuffer event, Runnable onSent);

    /** Called when the stream is complete; the sink writes the end marker. */
    void onStreamEnd();

    /** Called when the request fails, before or during the response. */
    void onRefused(Refusal refusal);
}
