package org.boragethread.entry.placement;

import java.time.Duration;

/** Counts the placements of an entry. */
public interface PlacementMetrics {

    /**
     * Counts a choice of an engine.
     *
     * @param decidedBy who chose it, or why this entry did
     * @param waited time from asking until the decision
     */
    void onPlacement(String decidedBy, Duration waited);

    /** Counts a request that a coordinator refused. */
    void onPlacementRefused(String reason);

    /** Counts an engine that the coordinator chose and this entry may not use. */
    void onPlacementRejected();

    /** Counts a group that has another coordinator than before. */
    void onPlacementCoordinator();
}
