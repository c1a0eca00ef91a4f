package org.boragethread.core.stage;

import java.util.Collection;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;

/** Tracks the results that requests of this process hold, and frees them. */
public interface ResultTracker {

    /**
     * Adds a result that a request holds from now on.
     *
     * @param submittedAt monotonic time in nanoseconds at which the piece was submitted to its
     *     queue
     */
    void track(GroupId group, ResultLocation location, long bytes, long submittedAt);

    /** Frees results. A failure is only logged, because upstreams drop results that expire. */
    void free(GroupId group, UpstreamId upstream, Collection<String> handles);
}
