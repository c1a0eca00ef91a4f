package org.boragethread.entry.gateway;

import java.time.Duration;
import java.util.OptionalDouble;
import org.boragethread.core.rollout.SendKind;
import org.boragethread.core.rollout.VersionRule;
import org.boragethread.core.stage.BatchFailure;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.entry.rollout.UpstreamUse;
import org.boragethread.model.routing.RoutedGroup;
import org.boragethread.model.upstream.GroupId;

/** Applies roll-outs to the calls with pieces of stages. */
final class StageRollouts {

    /** Pieces of all routes share calls, so they are compared as those of one route. */
    private static final String ROUTE = "(stages)";

    private final Gateway mGateway;

    StageRollouts(Gateway gateway) {
        mGateway = gateway;
    }

    /** Returns which upstreams may get a call that is no trial. */
    VersionRule rule(GroupId group) {
        return mGateway.rollouts().rule(group, ROUTE, SendKind.FURTHER);
    }

    /** Returns which upstreams get the next call, if it is a trial. */
    VersionRule trialRule(GroupId group) {
        return mGateway.rollouts().rule(group, ROUTE, SendKind.FIRST);
    }

    /**
     * Counts a call just before it is sent. At the version on trial its further pieces count as
     * further sends, so that neither calls nor pieces exceed the share.
     *
     * @return whether the call may be sent
     */
    boolean tryCount(UpstreamNode upstream, int pieces) {
        GroupId group = upstream.entry().group();
        boolean isTrial = !rule(group).allows(upstream.entry().id(), upstream.softwareVersion());
        if (!mGateway.rollouts().trySend(group, ROUTE, SendKind.FIRST, upstream)) {
            return false;
        }
        for (int i = 1; isTrial && i < pieces; i++) {
            mGateway.rollouts().trySend(group, ROUTE, SendKind.FURTHER, upstream);
        }
        return true;
    }

    UpstreamUse begin(UpstreamNode upstream) {
        return mGateway.rollouts().begin(upstream.entry().group(), ROUTE, upstream);
    }

    /** Counts how a call has ended. */
    void onEnded(UpstreamUse use, BatchFailure.Kind failure) {
        if (failure == BatchFailure.Kind.BROKEN) {
            use.onFailure();
        }
        use.onEnded();
    }

    /**
     * Counts a call that was answered.
     *
     * @param failed whether a piece failed because its work did
     */
    void onEnded(
            UpstreamUse use, UpstreamNode upstream, int pieces, Duration time, boolean failed) {
        if (failed) {
            use.onFailure();
        } else {
            use.onResponse(relativeTime(upstream.entry().group(), pieces, time));
        }
        use.onEnded();
    }

    private OptionalDouble relativeTime(GroupId group, int pieces, Duration time) {
        return mGateway.groupConfig(group).flatMap(RoutedGroup::batch).stream()
                .mapToDouble(limits -> limits.expectedTime(pieces).toNanos())
                .filter(expected -> expected > 0)
                .map(expected -> time.toNanos() / expected)
                .findFirst();
    }
}
