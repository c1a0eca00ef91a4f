package org.boragethread.core.pipeline;

import java.nio.ByteBuffer;
import org.boragethread.model.outcome.Refusal;

/**
 * Receives the answer to a request. Exactly one of {@link #onAnswer}, {@link #onStreamEnd} and
 * {@link #onRefused} is called, and nothing after it.
 */
public interface ResponseSink {

    /** The whole answer, for a caller that does not take a stream. */
    void onAnswer(PipelineAnswer answer);

    /** A stream of events begins. */
    void onStreamStart();

    /**
     * The next event of the stream, with its blank line.
     *
     * @param onSent to be run once the event has left, so that more are requested
     */
    void onStreamEvent(ByteBuffer event, Runnable onSent);

    /** The stream is whole; the sink writes the end mark. */
    void onStreamEnd();

    /** There is no answer, or no more of it. */
    void onRefused(Refusal refusal);
}
