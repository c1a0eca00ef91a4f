package org.boragethread.core.stage;

import org.boragethread.core.upstream.UpstreamNode;

/** Serves the most urgent pieces that fit, at upstreams that are assumed to be equally fast. */
public final class LocalStagePolicy implements StagePolicy {

    @Override
    public double timeFactor(UpstreamNode upstream, long now) {
        return 1;
    }
}
