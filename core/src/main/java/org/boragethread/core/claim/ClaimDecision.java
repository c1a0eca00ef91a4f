package org.boragethread.core.claim;

import org.boragethread.model.claim.ClaimOutcome;
import org.boragethread.model.claim.ClaimRef;

/** How an entry must proceed with a call that has an idempotency key. */
public sealed interface ClaimDecision {

    /**
     * This entry holds the claim. It must send the call to the target named in the claim, or
     * release the claim.
     *
     * @param ref the claim that this entry holds
     */
    record Run(ClaimRef ref) implements ClaimDecision {}

    /**
     * The call has already run; the caller receives the recorded outcome.
     *
     * @param ref the claim under which the call ran
     * @param outcome the recorded outcome; its body is empty if it was too large to keep
     */
    record Replay(ClaimRef ref, ClaimOutcome outcome) implements ClaimDecision {}
}
