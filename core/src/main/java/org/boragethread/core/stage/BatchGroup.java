package org.boragethread.core.stage;

import java.util.List;
import java.util.Optional;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.routing.BatchLimits;

/** The upstreams of one group that makes pieces, as they are at the moment. */
public interface BatchGroup {

    /** Returns the name of the group. */
    String name();

    /** Returns what one upstream does with a call, if the group is configured. */
    Optional<BatchLimits> limits();

    /** Returns the upstreams that may get calls, the best first. */
    List<UpstreamNode> upstreams();
}
