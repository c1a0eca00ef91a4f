package org.boragethread.core.dispatch;

import java.nio.ByteBuffer;
import org.boragethread.model.outcome.Refusal;

/**
 * Receives the response to a call: the head, chunks of the body and the end, or a refusal at any
 * point. Exactly one of {@link #onEnd} and {@link #onRefused} is called, and no method after it.
 */
public interface CallListener {

    /** Called with the head of the upstream's response. */
    void onHead(int status, String contentType);

    /** Called with the next part of the response body; the listener may keep the buffer. */
    void onChunk(ByteBuffer data);

    /** Called when the response is complete. */
    void onEnd(CallSummary summary);

    /** Called when the call fails before its response is complete. */
    void onRefused(Refusal refusal);
}
