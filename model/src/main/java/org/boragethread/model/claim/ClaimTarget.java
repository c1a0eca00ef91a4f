package org.boragethread.model.claim;

import java.util.Objects;
import org.boragethread.model.upstream.UpstreamId;

/**
 * The agent that a claimed call goes to.
 *
 * @param upstream the agent's upstream
 * @param incarnation value that differs for each start of the agent
 */
public record ClaimTarget(UpstreamId upstream, long incarnation) {

    public ClaimTarget {
        Objects.requireNonNull(upstream, "upstream");
    }
}
