package org.boragethread.core.placement;

import java.util.Optional;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.model.upstream.UpstreamId;

/**
 * What the coordinator reads of one engine of the group.
 *
 * @param id identifier of the engine
 * @param run differs for each run of the engine; a new run starts with an empty cache
 * @param dataCentre data centre of the engine
 * @param cold whether it has just started and can take only little load
 * @param leaving whether it accepts no new work
 * @param version software version, if it is known for certain
 */
public record EngineStatus(
        UpstreamId id,
        long run,
        DataCentreId dataCentre,
        boolean cold,
        boolean leaving,
        Optional<SoftwareVersion> version) {}
