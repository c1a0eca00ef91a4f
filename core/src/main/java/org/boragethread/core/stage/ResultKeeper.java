package org.boragethread.core.stage;

import java.util.Collection;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;

/** Knows the results that requests of this process hold, and frees them. */
public interface ResultKeeper {

    /**
     * Learns of a result that a request holds from now on.
     *
     * @param submittedAt monotonic time in nanoseconds at which the piece was handed to its queue
     */
    void keep(GroupId group, MadePiece made, long bytes, long submittedAt);

    /** Frees results; a failure is only logged, as results are freed by time too. */
    void free(GroupId group, UpstreamId maker, Collection<String> handles);
}
