package org.boragethread.entry.gateway;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.boragethread.core.routing.RoutingTable;
import org.boragethread.core.upstream.ChoiceRequest;
import org.boragethread.core.upstream.UpstreamChooser;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.RoutedGroup;

/**
 * Tracks the upstreams that one request may use: those its route allows, except any that refused or
 * failed it.
 */
final class Placement {

    private final RoutedGroup mGroup;
    private final Admitted mAdmitted;
    private final RoutingTable mRouting;
    private final Set<UpstreamNode> mExcludedNodes = new HashSet<>();
    private Optional<DataCentreId> mPreferredDataCentre = Optional.empty();

    Placement(RoutedGroup group, Admitted admitted, RoutingTable routing) {
        mGroup = group;
        mAdmitted = admitted;
        mRouting = routing;
    }

    /** Returns the selection criteria for the next attempt. */
    ChoiceRequest request() {
        return request(mExcludedNodes);
    }

    /** Returns the selection criteria if the given upstream were excluded too. */
    ChoiceRequest without(UpstreamNode node) {
        Set<UpstreamNode> excluded = new HashSet<>(mExcludedNodes);
        excluded.add(node);
        return request(excluded);
    }

    /** Excludes an upstream that refused or failed the request. */
    void exclude(UpstreamNode node) {
        mExcludedNodes.add(node);
    }

    /** Chooses the data centre in which the results of the stages will be used. */
    void planPlace(UpstreamChooser chooser) {
        mPreferredDataCentre = chooser.choose(request()).map(node -> node.entry().dataCentre());
    }

    /**
     * Returns the data centre in which the results of the stages will be used, if one was chosen.
     */
    Optional<DataCentreId> near() {
        return mPreferredDataCentre;
    }

    private ChoiceRequest request(Set<UpstreamNode> excluded) {
        return new ChoiceRequest(
                mGroup,
                mAdmitted.route().regions(),
                excluded,
                mAdmitted.affinity(),
                mAdmitted.affinityMillis(),
                mRouting.evacuated(),
                mPreferredDataCentre,
                ChoiceRequest.REMOTE_MILLIS + mAdmitted.transferMillis());
    }
}
