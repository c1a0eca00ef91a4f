package org.boragethread.core.rollout;

import java.util.OptionalDouble;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.upstream.UpstreamId;

/**
 * Counts the responses of one order that an entry has seen. An entry creates one for each order
 * whose state it reads. Not thread-safe.
 */
public final class ResponseCounter {

    /** Creates a counter without responses. */
    public ResponseCounter(TimeSource time) {}

    /**
     * Counts a response.
     *
     * @param relativeTime response time as a multiple of the predicted one; empty if the upstream
     *     is cold
     */
    public void onResponse(String route, VersionSide side, OptionalDouble relativeTime) {}

    /**
     * Counts a failure: a 5xx, broken or missing response. A refusal that says that the request was
     * not run is none, and a request that its caller cancelled is not counted at all.
     */
    public void onFailure(String route, VersionSide side, UpstreamId upstream) {}

    /** Returns the totals. */
    public RolloutEvidence evidence() {
        return RolloutEvidence.NONE;
    }
}
