package org.boragethread.core.stage;

import java.util.List;
import java.util.Optional;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.routing.BatchLimits;

/** The current state of one group of upstreams that execute pieces. */
public interface BatchGroup {

    String name();

    /** Returns the batch limits of each upstream, if the group is configured. */
    Optional<BatchLimits> limits();

    /** Returns the upstreams that may be called, best first. */
    List<UpstreamNode> upstreams();
}
