package org.boragethread.model.routing;

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
 * @param coldMillis remaining time in the cold state, in milliseconds from the announcement
 * @param startedMillis start time in Unix milliseconds, if announced
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
