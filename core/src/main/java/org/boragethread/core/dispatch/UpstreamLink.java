package org.boragethread.core.dispatch;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.boragethread.core.claim.ClaimAnswer;
import org.boragethread.core.selection.Candidate;
import org.boragethread.model.claim.ClaimRef;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;

/** An established connection to the agent of an upstream. */
public interface UpstreamLink {

    /** Returns the upstream behind the agent. */
    UpstreamId upstream();

    /** Returns the group of the upstream. */
    GroupId group();

    /** Returns the data centre of the upstream. */
    DataCentreId dataCentre();

    /** Returns the number that distinguishes this run of the agent process from earlier ones. */
    long incarnation();

    /** Returns whether the agent accepts new calls. */
    boolean isAccepting();

    /**
     * Returns the state of the upstream on which selectors base their choice.
     *
     * @param region region of the data centre, empty if unknown
     */
    Candidate candidate(String region);

    /**
     * Sends a call. The listener may be called on the current thread before this method returns. It
     * is called without locks held.
     */
    CallHandle call(StageCall call, CallListener listener);

    /**
     * Queries the agent for the state of a claim that names this incarnation of the agent.
     *
     * @param fence whether the agent must reject the claim from now on, unless its call has started
     * @return the agent's answer, or empty if the connection is closed first; never completes
     *     exceptionally
     */
    default CompletableFuture<Optional<ClaimAnswer>> queryClaim(ClaimRef claim, boolean fence) {
        return CompletableFuture.completedFuture(Optional.empty());
    }
}
