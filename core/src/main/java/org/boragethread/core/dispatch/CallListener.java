package org.boragethread.core.dispatch;

import java.nio.ByteBuffer;
import org.boragethread.model.outcome.Refusal;

/**
 * Receives the answer to one call: a head, chunks and an end, or a refusal at any point. Exactly
 * one of {@link #onEnd} and {@link #onRefused} is called, and nothing after it.
 */
public interface CallListener {

    /** The upstream has begun to answer. */
    void onHead(int status, String contentType);

    /** The next part of the answer; the receiver may keep the buffer. */
    void onChunk(ByteBuffer data);

    /** The answer is whole. */
    void onEnd(CallSummary summary);

    /** There is no whole answer. */
    void onRefused(Refusal refusal);
}
