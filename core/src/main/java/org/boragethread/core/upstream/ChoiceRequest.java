package org.boragethread.core.upstream;

import java.util.Optional;
import java.util.Set;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.RoutedGroup;

/**
 * What is to be placed.
 *
 * @param group group of the upstreams
 * @param regions allowed regions; empty for all
 * @param excluded upstreams that refused or failed this request
 * @param affinity hash of what requests with a common beginning share; 0 if there is nothing
 * @param affinityMillis time that the common beginning costs an engine that does not hold it
 * @param evacuated data centres that get no new work
 * @param near data centre that holds what the request needs; empty for that of this process
 * @param remoteMillis delay that another data centre is taken to cost, bytes included
 */
public record ChoiceRequest(
        RoutedGroup group,
        Set<String> regions,
        Set<UpstreamNode> excluded,
        long affinity,
        double affinityMillis,
        Set<DataCentreId> evacuated,
        Optional<DataCentreId> near,
        double remoteMillis) {

    /** Delay that a call to another data centre is taken to cost if little is transferred. */
    public static final double REMOTE_MILLIS = 4;
}
