package org.boragethread.model.upstream;

/**
 * Load of one upstream as its agent sees it; agents attach it to their answers.
 *
 * @param inFlight calls that the upstream is working on
 * @param limit greatest number of calls that the agent lets through now
 * @param queued calls that wait in the agent's queue
 * @param cold whether the upstream is still warming up
 * @param leaving whether the agent refuses new work because it or its upstream is leaving
 */
public record UpstreamLoad(int inFlight, int limit, int queued, boolean cold, boolean leaving) {

    /** Load of an upstream about which nothing is known yet. */
    public static final UpstreamLoad UNKNOWN = new UpstreamLoad(0, 1, 0, true, false);

    /** Returns running and waiting calls as a multiple of the limit. */
    public double utilisation() {
        return (inFlight + queued) / (double) Math.max(1, limit);
    }
}
