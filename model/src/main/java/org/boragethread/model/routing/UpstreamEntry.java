package org.boragethread.model.routing;

import java.util.Optional;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;

/**
 * What an upstream last announced of itself.
 *
 * @param id its identity, which requests name so that no other process at its address runs them
 * @param group its group
 * @param host IP number
 * @param port port of its HTTP interface
 * @param dataCentre its data centre
 * @param leaving whether it wants no new work
 * @param coldMillis how much longer it stays cold, counted from the announcement
 * @param startedMillis Unix time of its start in milliseconds, if it says so
 */
public record UpstreamEntry(
        UpstreamId id,
        GroupId group,
        String host,
        int port,
        DataCentreId dataCentre,
        boolean leaving,
        long coldMillis,
        Optional<Long> startedMillis) {

    /** Returns the address as IP:port. */
    public String address() {
        return host + ":" + port;
    }

    /** Tells whether both announcements come from the same run of the same process. */
    public boolean isSameIncarnation(UpstreamEntry other) {
        return id.equals(other.id)
                && address().equals(other.address())
                && startedMillis.equals(other.startedMillis);
    }
}
