package org.boragethread.entry.placement;

import java.time.Duration;
import org.boragethread.core.placement.PlacementRefusal;
import org.boragethread.model.upstream.UpstreamId;

/** Receives the decision about one request: one of the three, once, possibly at once. */
public interface PlacementOutcome {

    /**
     * The request is to be sent to an engine now.
     *
     * @param prefixCached whether the shared prefix is probably in the engine's cache
     * @param attempt told what happens to the request there
     */
    void onPlaced(UpstreamId engine, boolean prefixCached, PlacedAttempt attempt);

    /**
     * The request is hopeless.
     *
     * @param retryAfter time after which there will probably be capacity; the same for all callers
     */
    void onRefused(PlacementRefusal.Reason reason, Duration retryAfter);

    /** No coordinator decides; this entry chooses an engine by itself. */
    void onUnavailable();
}
