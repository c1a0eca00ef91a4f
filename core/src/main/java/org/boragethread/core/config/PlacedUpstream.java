package org.boragethread.core.config;

import java.util.Objects;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;

/**
 * A live upstream with its group and location.
 *
 * @param id the upstream
 * @param group group that it serves
 * @param dataCentre data centre that it runs in
 */
public record PlacedUpstream(UpstreamId id, GroupId group, DataCentreId dataCentre) {

    public PlacedUpstream {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(dataCentre, "dataCentre");
    }
}
