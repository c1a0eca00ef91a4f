package org.boragethread.core.dispatch;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.boragethread.core.claim.ClaimAnswer;
import org.boragethread.core.selection.Candidate;
import org.boragethread.model.claim.ClaimRef;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;

/** A working connection to the agent of one upstream. */
public interface UpstreamLink {

    /** Returns the upstream behind the agent. */
    UpstreamId upstream();

    /** Returns the group of the upstream. */
    GroupId group();

    /** Returns the data centre of the upstream. */
    DataCentreId dataCentre();

    /** Returns the number that distinguishes this run of the agent from earlier ones. */
    long incarnation();

    /** Tells whether the agent takes new calls. */
    boolean isAccepting();

    /**
     * Returns the state that a selector looks at.
     *
     * @param region region of the data centre, empty if it is not known
     */
    Candidate candidate(String region);

    /**
     * Sends a call. The listener may be called on this thread before the method returns; it is
     * called without locks held.
     */
    CallHandle call(StageCall call, CallListener listener);

    /**
     * Asks the agent what it knows of a claim that names this incarnation of it.
     *
     * @param fence whether the agent must refuse the claim from now on unless it has begun
     * @return the answer, or empty if the connection ends first; never completes exceptionally
     */
    default CompletableFuture<Optional<ClaimAnswer>> askClaim(ClaimRef claim, boolean fence) {
        return CompletableFuture.completedFuture(Optional.empty());
    }
}
