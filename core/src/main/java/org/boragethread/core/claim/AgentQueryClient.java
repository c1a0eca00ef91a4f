package org.boragethread.core.claim;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.boragethread.model.claim.ClaimRef;
import org.boragethread.model.claim.ClaimTarget;

/** Asks agents what they know of claims. */
public interface AgentQueryClient {

    /**
     * Asks the agent that a claim names. The question carries the incarnation from the target, and
     * an agent of another incarnation answers {@link ClaimAnswer.State#UNKNOWN}.
     *
     * @param fence whether the agent must refuse the claim from now on unless it has run it
     * @return the answer, or empty if the agent cannot be reached in time; never completes
     *     exceptionally
     */
    CompletableFuture<Optional<ClaimAnswer>> query(ClaimTarget target, ClaimRef ref, boolean fence);
}
