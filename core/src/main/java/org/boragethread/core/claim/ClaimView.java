package org.boragethread.core.claim;

import java.util.Optional;
import org.boragethread.model.claim.ClaimRef;
import org.boragethread.model.claim.ClaimTarget;
import org.boragethread.model.place.EntryId;

/**
 * Immutable snapshot of the state of one key.
 *
 * @param ref the claim that holds the key, or the last claim seen
 * @param key hash of the team and its idempotency key
 * @param bodyHash hash of the claimed request
 * @param status status of the key
 * @param assignment entry and agent of the claim, if it is open or unresolved
 * @param outcomeOffset offset of the outcome record, or -1 if there is none
 * @param timeMillis log time of the claim, in milliseconds since the Unix epoch
 */
public record ClaimView(
        ClaimRef ref,
        KeyHash key,
        long bodyHash,
        ClaimStatus status,
        Optional<Assignment> assignment,
        long outcomeOffset,
        long timeMillis) {

    /**
     * Entry and agent that an open or unresolved claim is assigned to.
     *
     * @param entry the entry that holds the claim
     * @param target the agent that the call is sent to
     * @param handovers number of handovers so far
     */
    public record Assignment(EntryId entry, ClaimTarget target, int handovers) {}
}
