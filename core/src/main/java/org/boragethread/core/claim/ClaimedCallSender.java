package org.boragethread.core.claim;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.boragethread.model.claim.ClaimRef;
import org.boragethread.model.claim.ClaimTarget;

/** Chooses agents and sends one claimed call to them; implemented by the embedding application. */
public interface ClaimedCallSender {

    /**
     * Chooses the target of the next attempt.
     *
     * @param refused targets that have proved that they did not run the call
     * @return the target, or empty if there is none or the retry budget is exhausted
     */
    Optional<ClaimTarget> chooseTarget(Set<ClaimTarget> refused);

    /**
     * Sends the call once, over a connection to exactly the incarnation named by the target. If
     * there is no such connection, the reply is {@link ClaimedCallReply.NotRun}.
     *
     * @return the reply; completes no later than the caller's deadline
     */
    CompletableFuture<ClaimedCallReply> send(ClaimTarget target, ClaimRef ref);
}
