package org.boragethread.wire.server;

import org.boragethread.core.claim.ClaimAnswer;
import org.boragethread.model.claim.ClaimRef;

/** Answers entries' questions about claims. Called on event loops; must not block. */
public interface ClaimDirectory {

    /** Vouches for no claim. */
    ClaimDirectory NONE = (claim, incarnation, fence) -> ClaimAnswer.of(ClaimAnswer.State.UNKNOWN);

    /**
     * Answers a question.
     *
     * @param incarnation the incarnation that the claim names
     * @param fence whether to refuse the claim from now on unless it has begun
     */
    ClaimAnswer ask(ClaimRef claim, long incarnation, boolean fence);
}
