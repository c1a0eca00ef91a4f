package org.boragethread.core.claim;

import org.boragethread.model.claim.ClaimOutcome;
import org.boragethread.model.claim.ClaimRef;

/** What an entry does with a keyed call that is not refused. */
public sealed interface ClaimDecision {

    /**
     * This entry must send the call with this claim to the agent that it named, or release the
     * claim.
     *
     * @param ref the claim
     */
    record Run(ClaimRef ref) implements ClaimDecision {}

    /**
     * The call has run before; the caller gets the recorded answer.
     *
     * @param ref the claim that ran
     * @param outcome the answer; without a body if that was too large to keep
     */
    record Replay(ClaimRef ref, ClaimOutcome outcome) implements ClaimDecision {}
}
