package org.boragethread.core.rollout;

import org.boragethread.model.upstream.UpstreamId;

/**
 * Failures of one upstream within a second that an entry has counted, so that those of one crash
 * can be limited over all entries.
 *
 * @param route name of the route
 * @param side side of the upstream
 * @param upstream the upstream
 * @param second Unix time in seconds
 * @param count counted failures; at most {@link #MAX_COUNT}
 */
public record UpstreamFailures(
        String route, VersionSide side, UpstreamId upstream, long second, long count) {

    /** Failures of one upstream that count within a second: a crash is one event. */
    public static final int MAX_COUNT = 3;

    /** Returns what identifies the count. */
    UpstreamFailures withoutCount() {
        return new UpstreamFailures(route, side, upstream, second, 0);
    }
}
