package org.boragethread.entry.gateway;

import org.boragethread.model.routing.RoutedGroup;

/**
 * What belongs to one admitted request.
 *
 * @param group group of the upstreams that serve it
 * @param feedback learns how they respond
 * @param placement upstreams that it may use
 * @param counts its attempts so far
 * @param prompt keeps it from upstreams while it is blocked
 * @param stages stages whose results it takes as input
 * @param stream response to the caller, as far as it is forwarded while it arrives
 * @param continuation software version at which the stream goes on
 * @param versions waits while a software version is uncertain for a moment
 * @param selection selects the upstreams of its attempts
 */
record RequestParts(
        CallerRequest request,
        AdmittedRequest admitted,
        RoutedGroup group,
        UpstreamFeedback feedback,
        Placement placement,
        AttemptCounts counts,
        QuarantineGuard prompt,
        StagePhase stages,
        ForwardedStream stream,
        StreamContinuation continuation,
        VersionWait versions,
        UpstreamSelection selection,
        RequestTrace trace) {}
