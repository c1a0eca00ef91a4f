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

/** Where one request may go: what its route allows, without upstreams that failed it. */
final class Placement {

    private final RoutedGroup mGroup;
    private final Admitted mAdmitted;
    private final RoutingTable mRouting;
    private final Set<UpstreamNode> mExcluded = new HashSet<>();
    private Optional<DataCentreId> mNear = Optional.empty();

    Placement(RoutedGroup group, Admitted admitted, RoutingTable routing) {
        mGroup = group;
        mAdmitted = admitted;
        mRouting = routing;
    }

    /** Returns what is to be placed now. */
    ChoiceRequest request() {
        return request(mExcluded);
    }

    /** Returns what would be to be placed if the given upstream failed. */
    ChoiceRequest without(UpstreamNode node) {
        Set<UpstreamNode> excluded = new HashSet<>(mExcluded);
        excluded.add(node);
        return request(excluded);
    }

    /** Passes over an upstream that refused or failed the request. */
    void exclude(UpstreamNode node) {
        mExcluded.add(node);
    }

    /** Decides in which data centre the results of stages will be used. */
    void planPlace(UpstreamChooser chooser) {
        mNear = chooser.choose(request()).map(node -> node.entry().dataCentre());
    }

    /** Returns the data centre in which the results of stages will be used, if one is planned. */
    Optional<DataCentreId> near() {
        return mNear;
    }

    private ChoiceRequest request(Set<UpstreamNode> excluded) {
        return new ChoiceRequest(
                mGroup,
                mAdmitted.route().regions(),
                excluded,
                mAdmitted.affinity(),
                mAdmitted.affinityMillis(),
                mRouting.evacuated(),
                mNear,
                ChoiceRequest.REMOTE_MILLIS + mAdmitted.transferMillis());
    }
}
