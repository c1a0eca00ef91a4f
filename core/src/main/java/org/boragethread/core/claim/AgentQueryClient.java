package org.boragethread.core.claim;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.boragethread.model.claim.ClaimRef;
import org.boragethread.model.claim.ClaimTarget;

/** Queries agents for the state of claims. */
public interface AgentQueryClient {

    /**
     * Queries the agent that a claim is assigned to. The query carries the incarnation of the
     * target; an agent with a different incarnation answers {@link ClaimAnswer.State#UNKNOWN}.
     *
     * @param fence whether the agent must reject the claim from now on unless it has already run it
     * @return the answer, or empty if the agent does not answer in time; never completes
     *     exceptionally
     */
    CompletableFuture<Optional<ClaimAnswer>> query(ClaimTarget target, ClaimRef ref, boolean fence);
}
