package org.boragethread.core.upstream;

import java.util.Optional;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.UpstreamAnnouncement;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.model.upstream.UpstreamId;

/** Creates announcements of upstreams for tests. */
public final class UpstreamEntries {

    private UpstreamEntries() {}

    /** Returns the announcement of a warm upstream that is not leaving. */
    public static UpstreamAnnouncement of(String id, String group, String dataCentre) {
        return of(id, group, dataCentre, false, 0);
    }

    public static UpstreamAnnouncement of(
            String id, String group, String dataCentre, boolean leaving, long coldMillis) {
        return new UpstreamAnnouncement(
                new UpstreamId(id),
                new GroupId(group),
                "10.0.0.1",
                1000 + Math.floorMod(id.hashCode(), 60_000),
                new DataCentreId(dataCentre),
                leaving,
                coldMillis,
                Optional.of(1L),
                Optional.of(new SoftwareVersion("v1")));
    }
}
