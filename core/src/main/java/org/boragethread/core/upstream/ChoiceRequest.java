package org.boragethread.core.upstream;

import java.util.Optional;
import java.util.Set;
import org.boragethread.core.rollout.VersionRule;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.RoutedGroup;
import org.boragethread.model.upstream.SoftwareVersion;

/**
 * Input to the choice of an upstream for a request.
 *
 * @param group group of the upstreams
 * @param regions allowed regions; empty for all
 * @param excluded upstreams that refused or failed this request
 * @param softwareVersion version at which a stream must go on; empty for any
 * @param affinity hash of the prompt prefix that the request shares with others; 0 if there is none
 * @param prefixTokens length of that prefix in tokens
 * @param times response times of the group
 * @param evacuated data centres that get no new work
 * @param inputDataCentre data centre that stores the inputs of the request; empty for that of this
 *     process
 * @param remoteMillis delay assumed for a call to another data centre, transfer time included
 * @param versions upstreams that a roll-out allows at present
 * @param tieSeed orders upstreams of equal cost if the request shares no prefix; entries with
 *     different ones prefer different upstreams
 */
public record ChoiceRequest(
        RoutedGroup group,
        Set<String> regions,
        Set<UpstreamNode> excluded,
        Optional<SoftwareVersion> softwareVersion,
        long affinity,
        double prefixTokens,
        ResponseTimeModel times,
        Set<DataCentreId> evacuated,
        Optional<DataCentreId> inputDataCentre,
        double remoteMillis,
        VersionRule versions,
        long tieSeed) {

    /** Delay assumed for a call to another data centre if little data is transferred. */
    public static final double REMOTE_MILLIS = 4;

    /** Creates a request that no roll-out restricts. */
    public ChoiceRequest(
            RoutedGroup group,
            Set<String> regions,
            Set<UpstreamNode> excluded,
            Optional<SoftwareVersion> softwareVersion,
            long affinity,
            double prefixTokens,
            ResponseTimeModel times,
            Set<DataCentreId> evacuated,
            Optional<DataCentreId> inputDataCentre,
            double remoteMillis) {
        this(
                group,
                regions,
                excluded,
                softwareVersion,
                affinity,
                prefixTokens,
                times,
                evacuated,
                inputDataCentre,
                remoteMillis,
                VersionRule.ANY,
                0);
    }

    /** Returns the request with other upstreams allowed by a roll-out. */
    public ChoiceRequest withVersions(VersionRule rule) {
        return new ChoiceRequest(
                group,
                regions,
                excluded,
                softwareVersion,
                affinity,
                prefixTokens,
                times,
                evacuated,
                inputDataCentre,
                remoteMillis,
                rule,
                tieSeed);
    }

    /** Returns the request with another order of upstreams of equal cost. */
    public ChoiceRequest withTieSeed(long seed) {
        return new ChoiceRequest(
                group,
                regions,
                excluded,
                softwareVersion,
                affinity,
                prefixTokens,
                times,
                evacuated,
                inputDataCentre,
                remoteMillis,
                versions,
                seed);
    }
}
