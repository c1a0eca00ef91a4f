package org.boragethread.core.claim;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.boragethread.model.claim.ClaimRef;
import org.boragethread.model.claim.ClaimTarget;

/** Chooses agents and sends one claimed call to them; the embedding program implements it. */
public interface ClaimedCallSender {

    /**
     * Chooses the agent for the next attempt.
     *
     * @param refused agents that have proved that they did not run the call
     * @return the agent, or empty if there is none or the retry budget is used up
     */
    Optional<ClaimTarget> chooseTarget(Set<ClaimTarget> refused);

    /**
     * Sends the call once, over a connection to the very incarnation of the target. If there is no
     * such connection any more, the reply is {@link ClaimedCallReply.NotRun}.
     *
     * @return how it ended, at the latest at the caller's deadline
     */
    CompletableFuture<ClaimedCallReply> send(ClaimTarget target, ClaimRef ref);
}
