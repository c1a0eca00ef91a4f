package org.boragethread.core.stage;

import org.boragethread.core.upstream.UpstreamNode;

/** Shares the upstreams of a large group, whose speed changes. */
public final class SharedStagePolicy implements StagePolicy {

    @Override
    public double timeFactor(UpstreamNode upstream, long now) {
        return upstream.timeFactor(now);
    }
}
