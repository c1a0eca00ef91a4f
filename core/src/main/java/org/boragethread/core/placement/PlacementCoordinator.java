package org.boragethread.core.placement;

import java.time.Duration;
import java.util.Collection;
import org.boragethread.core.callback.Supervisor;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.upstream.UpstreamId;

/**
 * Tracks the load of all engines of a group and places the requests of all entries. All state is in
 * memory and may be lost; entries then {@link #restore} it. Reports may be late, repeated, lost or
 * about requests that are not known, which then change nothing. Not thread-safe.
 */
public final class PlacementCoordinator {

    /** Maximum age of the engines' states as read from the directory. */
    public static final Duration DIRECTORY_INTERVAL = Duration.ofMillis(20);

    /**
     * Creates a coordinator without load.
     *
     * @param engines engines of the group
     * @param limitMemory whether the tokens of all requests at an engine must fit into its memory
     * @param supervisor told of each callback that threw
     */
    public PlacementCoordinator(
            EngineDirectory engines,
            boolean limitMemory,
            Scheduler scheduler,
            TimeSource time,
            Supervisor supervisor) {}

    /**
     * Places a request now or later, or refuses it. A repeated request for a waiting one replaces
     * its listener; one for a placed one gets the same engine again.
     */
    public void place(PlacementRequest request, PlacementListener listener) {}

    /**
     * Removes a request whose caller has gone, whether it waits or was placed. An engine that was
     * sent a request is assumed to stop it.
     */
    public void withdraw(PlacementKey key) {}

    /**
     * Removes a placed request that its entry did not send, because it may not use the engine now.
     * The entry then asks again with another attempt, with that engine as unusable.
     */
    public void reject(PlacementKey key) {}

    /**
     * Called when the first event of a placed request has come, so that its prompt is processed.
     *
     * @param responseTime time from sending the request to the first event, measured by the entry
     */
    public void onFirstEvent(PlacementKey key, Duration responseTime) {}

    /** Called when a placed request has ended successfully or was cancelled. */
    public void onEnded(PlacementKey key) {}

    /** Called when a placed request has failed at its engine, before or after its first event. */
    public void onFailed(PlacementKey key, PlacementFailure failure) {}

    /** Adds requests that an entry has at engines, after a change of the coordinator. */
    public void restore(Collection<HeldPlacement> placements) {}

    /** Called when the directory has changed, so that waiting requests may be placed. */
    public void onEnginesChanged() {}

    /** Returns the number of requests that wait for an engine. */
    public int waiting() {
        return 0;
    }

    /** Returns the number of requests that are placed and have not ended. */
    public int placed() {
        return 0;
    }

    /** Returns the number of requests that are placed at an engine and have not ended. */
    public int placedAt(UpstreamId engine) {
        return 0;
    }
}
