package org.boragethread.model.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.model.upstream.UpstreamId;

/**
 * Latest announcement of an upstream.
 *
 * @param id identifier of the upstream; requests state it so that no other process at the same
 *     address runs them
 * @param group group of the upstream
 * @param host IP address
 * @param port port of the HTTP interface
 * @param dataCentre data centre of the upstream
 * @param draining whether the upstream accepts no new work
 * @param coldMillis remaining time in the cold state, in milliseconds from the announcement; at
 *     most {@link #MAX_COLD_TIME}
 * @param startedMillis start time in Unix milliseconds, if announced; from 0 to {@link #MAX_START}
 * @param softwareVersion version of its software, if announced
 */
public record UpstreamAnnouncement(
        UpstreamId id,
        GroupId group,
        String host,
        int port,
        DataCentreId dataCentre,
        boolean draining,
        long coldMillis,
        Optional<Long> startedMillis,
        Optional<SoftwareVersion> softwareVersion) {

    /** No upstream is cold for longer; a greater number is in another unit. */
    public static final Duration MAX_COLD_TIME = Duration.ofDays(1);

    /** A later start time is in another unit, and would hide all further runs. */
    public static final Instant MAX_START = Instant.parse("2200-01-01T00:00:00Z");

    /**
     * Creates an announcement.
     *
     * @throws IllegalArgumentException if a time is out of range
     */
    public UpstreamAnnouncement {
        if (coldMillis > MAX_COLD_TIME.toMillis()) {
            throw new IllegalArgumentException(
                    "cold time of %d ms is too long: use at most %d ms"
                            .formatted(coldMillis, MAX_COLD_TIME.toMillis()));
        }
        long started = startedMillis.orElse(0L);
        if (started < 0 || started > MAX_START.toEpochMilli()) {
            throw new IllegalArgumentException(
                    "start time %d is out of range: use Unix milliseconds up to %d"
                            .formatted(started, MAX_START.toEpochMilli()));
        }
    }

    /** Returns the address as IP:port. */
    public String address() {
        return host + ":" + port;
    }

    /**
     * Returns whether both announcements come from the same run of the same process. A missing
     * start time is no sign of another run.
     */
    public boolean isSameIncarnation(UpstreamAnnouncement other) {
        boolean isSameStart =
                startedMillis.isEmpty()
                        || other.startedMillis.isEmpty()
                        || startedMillis.equals(other.startedMillis);
        return id.equals(other.id) && address().equals(other.address()) && isSameStart;
    }
}
