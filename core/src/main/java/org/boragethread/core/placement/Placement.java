package org.boragethread.core.placement;

import java.time.Duration;
import org.boragethread.model.upstream.UpstreamId;

/**
 * The engine to which an entry sends a request now.
 *
 * @param key identity of the request
 * @param engine the engine
 * @param waited time for which the request waited at the coordinator
 * @param expectedFirstEvent expected time from now to the first event
 * @param prefixCached whether the shared prefix is probably in the engine's cache
 */
public record Placement(
        PlacementKey key,
        UpstreamId engine,
        Duration waited,
        Duration expectedFirstEvent,
        boolean prefixCached) {}
