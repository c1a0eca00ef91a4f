package org.boragethread.core.claim;

import java.util.Objects;
import org.boragethread.model.outcome.RequestId;
import org.boragethread.model.team.TeamId;

/**
 * Asks for the right to run one stage with an effect.
 *
 * @param team the caller's team; keys of different teams never match
 * @param key the caller's idempotency key, joined with the stage's position
 * @param bodyHash hash of the pipeline's name and the caller's body, to recognise a reused key
 * @param request the caller's request
 * @param stage index of the stage, from 0
 */
public record ClaimRequest(TeamId team, String key, long bodyHash, RequestId request, int stage) {

    public ClaimRequest {
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(request, "request");
    }

    /** Returns the hash under which the claim is kept. */
    public KeyHash keyHash() {
        return KeyHash.of(team, key);
    }
}
