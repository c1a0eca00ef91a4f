package org.boragethread.model.upstream;

/**
 * Load of one upstream as measured by its agent; agents attach it to their responses.
 *
 * @param inFlight calls that the upstream is processing
 * @param limit number of concurrent calls that the agent admits at present
 * @param queued calls that wait in the agent's queue
 * @param cold whether the upstream is still warming up
 * @param draining whether the agent refuses new work because it or its upstream is shutting down
 */
public record UpstreamLoad(int inFlight, int limit, int queued, boolean cold, boolean draining) {

    /** Load of an upstream about which nothing is known yet. */
    public static final UpstreamLoad UNKNOWN = new UpstreamLoad(0, 1, 0, true, false);

    /** Returns the number of running and queued calls divided by the limit. */
    public double utilisation() {
        return (inFlight + queued) / (double) Math.max(1, limit);
    }
}
