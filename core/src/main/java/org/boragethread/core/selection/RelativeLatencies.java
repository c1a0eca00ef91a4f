package org.boragethread.core.selection;

import org.boragethread.model.upstream.UpstreamId;

/** Latencies of upstreams relative to their group. */
public interface RelativeLatencies {

    /** Treats all upstreams as equally fast. */
    RelativeLatencies UNIFORM = upstream -> 1;

    /**
     * Returns the latency of an upstream as a multiple of the typical latency of its group; 1 if it
     * is unknown.
     */
    double relativeLatency(UpstreamId upstream);
}
