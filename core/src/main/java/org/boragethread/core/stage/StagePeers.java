package org.boragethread.core.stage;

import java.util.Collection;
import java.util.List;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;

/** The other entries, as far as they schedule pieces for this one. */
public interface StagePeers {

    /**
     * Has the pieces of one stage of one request made.
     *
     * @param orElse runs if the peer does not take the pieces, or is lost before it is done
     */
    void make(String peer, GroupId group, List<PendingPiece> pieces, Runnable orElse);

    /**
     * Frees results through the entry that counts them.
     *
     * @param orElse runs if the peer cannot be reached
     */
    void free(
            String peer,
            GroupId group,
            UpstreamId maker,
            Collection<String> handles,
            Runnable orElse);

    /** Tells an entry which results of a group this one holds; a failure is only logged. */
    void report(String peer, GroupId group, Collection<HeldResult> results);
}
