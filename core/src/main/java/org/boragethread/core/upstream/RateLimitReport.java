package org.boragethread.core.upstream;

import java.util.Optional;
import java.util.OptionalDouble;
import org.boragethread.model.routing.UpstreamAnnouncement;
import org.boragethread.model.upstream.UpstreamId;

/**
 * What a process tells the others about the rate limit that an upstream names.
 *
 * @param upstream the upstream
 * @param address its address as IP:port
 * @param startedMillis start time of its run in Unix milliseconds, if announced
 * @param perSecond calls per second; empty if it names no limit any more
 */
public record RateLimitReport(
        UpstreamId upstream,
        String address,
        Optional<Long> startedMillis,
        OptionalDouble perSecond) {

    /** Returns a report of what this process knows. */
    public static RateLimitReport of(UpstreamNode node) {
        UpstreamAnnouncement entry = node.entry();
        return new RateLimitReport(
                entry.id(),
                entry.address(),
                entry.startedMillis(),
                node.namedRateLimit().perSecond());
    }

    /** Returns whether the report is about the announced run of the upstream. */
    public boolean isAbout(UpstreamAnnouncement entry) {
        return upstream.equals(entry.id())
                && address.equals(entry.address())
                && startedMillis.equals(entry.startedMillis());
    }
}
