package org.boragethread.core.placement;

import org.boragethread.model.upstream.UpstreamId;

/**
 * A request that an entry has at an engine, as it reports to a new coordinator.
 *
 * @param request the request
 * @param engine the engine that has it
 * @param sentNanos monotonic time of the coordinator at which it was sent there
 * @param firstEventSeen whether its first event has come, so that the prompt is processed
 */
public record HeldPlacement(
        PlacementRequest request, UpstreamId engine, long sentNanos, boolean firstEventSeen) {}
