package org.boragethread.core.claim;

import java.util.Optional;
import org.boragethread.model.claim.ClaimRef;
import org.boragethread.model.claim.ClaimTarget;
import org.boragethread.model.place.EntryId;

/**
 * State of one key at one point of the log.
 *
 * @param ref the claim that holds, or the last one seen
 * @param key hash of team and key
 * @param bodyHash hash of what the claim runs
 * @param status what the log says
 * @param open who runs the call, for an open or unresolved claim
 * @param outcomeOffset offset of the outcome's record; -1 if there is none
 * @param timeMillis log time of the claim, in milliseconds since 1970
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
     * Who runs an open claim.
     *
     * @param entry the entry that holds the claim
     * @param target the agent that the call goes to
     * @param handovers number of handovers so far
     */
    public record Assignment(EntryId entry, ClaimTarget target, int handovers) {}
}
