package org.boragethread.core.stage;

import org.boragethread.core.upstream.UpstreamNode;

/** How the pieces of one group share its upstreams. Not thread-safe. */
public interface StagePolicy {

    /** Returns how long work takes at an upstream now, as a multiple of the usual time. */
    double timeFactor(UpstreamNode upstream, long now);
}
