package org.boragethread.entry.gateway;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.boragethread.core.rollout.VersionRule;
import org.boragethread.core.routing.RoutingTable;
import org.boragethread.core.upstream.ChoiceRequest;
import org.boragethread.core.upstream.ResponseTimeModel;
import org.boragethread.core.upstream.UpstreamChooser;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.RoutedGroup;
import org.boragethread.model.upstream.SoftwareVersion;

/**
 * Tracks the upstreams that one request may use: those its route allows, except any that refused or
 * failed it.
 */
final class Placement {

    private final RoutedGroup mGroup;
    private final AdmittedRequest mAdmitted;
    private final RoutingTable mRouting;
    private final ResponseTimeModel mTimes;
    private final Supplier<Optional<SoftwareVersion>> mVersion;
    private final Supplier<VersionRule> mRolloutRule;
    private final Set<UpstreamNode> mExcludedNodes = new HashSet<>();
    private Optional<DataCentreId> mPreferredDataCentre = Optional.empty();

    /**
     * Creates a placement without excluded upstreams.
     *
     * @param times response times of the group
     * @param version version at which the request must run at present; empty for any
     * @param rolloutRule upstreams that a roll-out allows at present, apart from trials
     */
    Placement(
            RoutedGroup group,
            AdmittedRequest admitted,
            RoutingTable routing,
            ResponseTimeModel times,
            Supplier<Optional<SoftwareVersion>> version,
            Supplier<VersionRule> rolloutRule) {
        mGroup = group;
        mAdmitted = admitted;
        mRouting = routing;
        mTimes = times;
        mVersion = version;
        mRolloutRule = rolloutRule;
    }

    /** Returns the selection criteria for the next attempt. */
    ChoiceRequest choiceRequest() {
        return choiceRequest(mExcludedNodes);
    }

    /** Returns the selection criteria if the given upstreams were excluded too. */
    ChoiceRequest choiceWithout(Collection<UpstreamNode> nodes) {
        Set<UpstreamNode> excluded = new HashSet<>(mExcludedNodes);
        excluded.addAll(nodes);
        return choiceRequest(excluded);
    }

    /** Excludes an upstream that refused or failed the request. */
    void exclude(UpstreamNode node) {
        mExcludedNodes.add(node);
    }

    /** Chooses the data centre in which the results of the stages will be used. */
    void chooseStageDataCentre(UpstreamChooser chooser) {
        mPreferredDataCentre =
                chooser.choose(choiceRequest()).map(node -> node.entry().dataCentre());
    }

    /**
     * Returns the data centre in which the results of the stages will be used, if one was chosen.
     */
    Optional<DataCentreId> stageDataCentre() {
        return mPreferredDataCentre;
    }

    private ChoiceRequest choiceRequest(Set<UpstreamNode> excluded) {
        return new ChoiceRequest(
                mGroup,
                mAdmitted.route().regions(),
                excluded,
                mVersion.get(),
                mAdmitted.affinity(),
                mAdmitted.prefixTokens(),
                mTimes,
                mRouting.evacuated(),
                mPreferredDataCentre,
                ChoiceRequest.REMOTE_MILLIS + mAdmitted.transferCostMillis(),
                mRolloutRule.get());
    }
}
