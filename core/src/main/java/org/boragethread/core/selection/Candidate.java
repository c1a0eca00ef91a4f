package org.boragethread.core.selection;

import java.util.Objects;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.upstream.UpstreamId;
import org.boragethread.model.upstream.UpstreamLoad;

/**
 * An upstream that could receive a call.
 *
 * @param upstream ID of the upstream
 * @param dataCentre its data centre
 * @param region region of its data centre; empty if the configuration does not specify one
 * @param load its load as last reported by its agent
 * @param loadAgeNanos age of that report, in nanoseconds
 * @param ownCalls calls that this process has sent to the upstream and that have not ended
 */
public record Candidate(
        UpstreamId upstream,
        DataCentreId dataCentre,
        String region,
        UpstreamLoad load,
        long loadAgeNanos,
        int ownCalls) {

    public Candidate {
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(load, "load");
    }
}
