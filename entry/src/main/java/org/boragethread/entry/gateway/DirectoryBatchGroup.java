package org.boragethread.entry.gateway;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.boragethread.core.rollout.VersionRule;
import org.boragethread.core.stage.BatchGroup;
import org.boragethread.core.stage.StagePolicy;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.routing.BatchLimits;
import org.boragethread.model.routing.RoutedGroup;
import org.boragethread.model.upstream.GroupId;

/** A group of upstreams that run stages, backed by the upstream directory of this process. */
final class DirectoryBatchGroup implements BatchGroup {

    private final Gateway mGateway;
    private final GroupId mGroup;
    private final StagePolicy mPolicy;
    private final StageRollouts mRollouts;

    DirectoryBatchGroup(Gateway gateway, GroupId group, StagePolicy policy) {
        mGateway = gateway;
        mGroup = group;
        mPolicy = policy;
        mRollouts = new StageRollouts(gateway);
    }

    @Override
    public String name() {
        return mGroup.value();
    }

    @Override
    public Optional<BatchLimits> limits() {
        return mGateway.groupConfig(mGroup).flatMap(RoutedGroup::batch);
    }

    @Override
    public List<UpstreamNode> upstreams() {
        VersionRule trial = mRollouts.trialRule(mGroup);
        if (!trial.isTrial()) {
            return upstreams(mRollouts.rule(mGroup));
        }
        List<UpstreamNode> candidates = upstreams(trial);
        candidates.addAll(upstreams(mRollouts.rule(mGroup)));
        return candidates;
    }

    private List<UpstreamNode> upstreams(VersionRule versions) {
        long now = mGateway.time().nanoTime();
        List<UpstreamNode> usable = new ArrayList<>();
        List<UpstreamNode> avoided = new ArrayList<>();
        for (UpstreamNode node : mGateway.directory().of(mGroup)) {
            boolean excluded =
                    node.isLeaving()
                            || node.isPaused(now)
                            || !versions.allows(node.entry().id(), node.softwareVersion())
                            || !mGateway.rateLimitShare().isCallAllowed(node, now)
                            || mGateway.routingTable()
                                    .evacuated()
                                    .contains(node.entry().dataCentre());
            if (!excluded) {
                (node.isAvoided(now) ? avoided : usable).add(node);
            }
        }
        List<UpstreamNode> candidates = usable.isEmpty() ? avoided : usable;
        candidates.sort(
                Comparator.comparing((UpstreamNode node) -> !isConfirmationDue(node, now))
                        .thenComparingLong(node -> node.busyTime(now).toMillis())
                        .thenComparingDouble(node -> Math.round(slowness(node, now)))
                        .thenComparingLong(this::tieBreaker));
        return candidates;
    }

    private double slowness(UpstreamNode node, long now) {
        return node.slowness() * mPolicy.timeFactor(node, now);
    }

    private boolean isConfirmationDue(UpstreamNode node, long now) {
        return now >= node.busyUntil() && mGateway.rateLimitShare().isConfirmationDue(node, now);
    }

    /** Orders equal upstreams differently for each entry, so that entries collide less often. */
    private long tieBreaker(UpstreamNode node) {
        String pair = mGateway.settings().name() + '/' + node.entry().id().value();
        return Hashing.komihash5_0().hashCharsToLong(pair);
    }
}
