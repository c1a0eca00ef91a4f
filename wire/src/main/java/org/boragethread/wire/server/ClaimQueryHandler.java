package org.boragethread.wire.server;

import org.boragethread.core.claim.ClaimAnswer;
import org.boragethread.model.claim.ClaimRef;

/** Answers claim queries of entries. Called on event loops; must not block. */
public interface ClaimQueryHandler {

    /** Answers that the state of the claim is unknown. */
    ClaimQueryHandler NONE =
            (claim, incarnation, fence) -> ClaimAnswer.of(ClaimAnswer.State.UNKNOWN);

    /**
     * Answers a query about a claim.
     *
     * @param incarnation the incarnation that the claim names
     * @param fence whether to refuse the claim from now on, unless its call has started
     */
    ClaimAnswer query(ClaimRef claim, long incarnation, boolean fence);
}
