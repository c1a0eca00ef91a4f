package org.boragethread.core.stage;

import java.util.Collection;
import java.util.List;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;

/** Sends requests to other entries that act as coordinators of a group. */
public interface CoordinatorClient {

    /**
     * Submits the pieces of one stage of one request to a coordinator.
     *
     * @param fallback runs if the coordinator does not accept the pieces, or becomes unreachable
     *     before it has reported their outcome
     */
    void submit(String coordinator, GroupId group, List<PendingPiece> pieces, Runnable fallback);

    /**
     * Frees results through the coordinator that tracks the memory of their upstream.
     *
     * @param fallback runs if the coordinator cannot be reached
     */
    void free(
            String coordinator,
            GroupId group,
            UpstreamId upstream,
            Collection<String> handles,
            Runnable fallback);

    /**
     * Reports the results of a group that requests of this process hold; a failure is only logged.
     */
    void reportHeldResults(String coordinator, GroupId group, Collection<HeldResult> results);
}
