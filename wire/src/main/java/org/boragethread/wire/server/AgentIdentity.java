package org.boragethread.wire.server;

import java.util.Objects;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;

/**
 * Identity that an agent presents in the handshake.
 *
 * @param upstream the upstream behind the agent
 * @param group the upstream's group
 * @param dataCentre the upstream's data centre
 * @param incarnation random number that identifies one run of the agent process
 */
public record AgentIdentity(
        UpstreamId upstream, GroupId group, DataCentreId dataCentre, long incarnation) {

    public AgentIdentity {
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(dataCentre, "dataCentre");
    }
}
