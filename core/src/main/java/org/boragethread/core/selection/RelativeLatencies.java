package org.boragethread.core.selection;

import org.boragethread.model.upstream.UpstreamId;

/** How slow an upstream is beside the others of its group. */
public interface RelativeLatencies {

    /** Takes all upstreams to be equally fast. */
    RelativeLatencies UNIFORM = upstream -> 1;

    /** Returns the upstream's latency as a multiple of its group's; 1 if nothing is known. */
    double relativeLatency(UpstreamId upstream);
}
