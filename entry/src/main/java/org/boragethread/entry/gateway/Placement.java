package org.boragethread.entry.gateway;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.boragethread.core.rollout.SendKind;
import org.boragethread.core.rollout.VersionRule;
import org.boragethread.core.upstream.ChoiceRequest;
import org.boragethread.core.upstream.ResponseTimeModel;
import org.boragethread.core.upstream.UpstreamChooser;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.entry.rollout.Rollouts;
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
    private final Gateway mGateway;
    private final ResponseTimeModel mTimes;
    private final Supplier<Optional<SoftwareVersion>> mVersion;
    private final Set<UpstreamNode> mExcludedNodes = new HashSet<>();
    private Optional<DataCentreId> mPreferredDataCentre = Optional.empty();

    /**
     * Creates a placement without excluded upstreams.
     *
     * @param times response times of the group
     * @param version version at which the request must run at present; empty for any
     */
    Placement(
            RoutedGroup group,
            AdmittedRequest admitted,
            Gateway gateway,
            ResponseTimeModel times,
            Supplier<Optional<SoftwareVersion>> version) {
        mGroup = group;
        mAdmitted = admitted;
        mGateway = gateway;
        mTimes = times;
        mVersion = version;
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
        Optional<SoftwareVersion> version = mVersion.get();
        return new ChoiceRequest(
                mGroup,
                mAdmitted.route().regions(),
                excluded,
                version,
                mAdmitted.affinity(),
                mAdmitted.prefixTokens(),
                mTimes,
                mGateway.routingTable().evacuated(),
                mPreferredDataCentre,
                ChoiceRequest.REMOTE_MILLIS + mAdmitted.transferCostMillis(),
                rolloutRule(version),
                0);
    }

    /** Returns which upstreams a roll-out allows for an attempt that is no trial. */
    private VersionRule rolloutRule(Optional<SoftwareVersion> version) {
        Rollouts rollouts = mGateway.rollouts();
        return version.map(needed -> rollouts.continuationRule(mGroup.id(), needed))
                .orElseGet(
                        () ->
                                rollouts.rule(
                                        mGroup.id(), mAdmitted.route().label(), SendKind.FURTHER));
    }
}
