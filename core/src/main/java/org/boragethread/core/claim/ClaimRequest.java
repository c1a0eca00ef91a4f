package org.boragethread.core.claim;

import java.util.Objects;
import org.boragethread.model.outcome.RequestId;
import org.boragethread.model.team.TeamId;

/**
 * A request for the right to run one non-idempotent stage.
 *
 * @param team the caller's team; keys of different teams never match
 * @param key the caller's idempotency key, combined with the position of the stage
 * @param bodyHash hash of the pipeline name and the request body, used to detect a reused key
 * @param request identifier of the caller's request
 * @param stage index of the stage, from 0
 */
public record ClaimRequest(TeamId team, String key, long bodyHash, RequestId request, int stage) {

    public ClaimRequest {
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(request, "request");
    }

    /** Returns the hash that identifies the key in the claim streams. */
    public KeyHash keyHash() {
        return KeyHash.of(team, key);
    }
}
