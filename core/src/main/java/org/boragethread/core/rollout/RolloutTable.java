package org.boragethread.core.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.follow.FreshnessLease;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.routing.UpstreamAnnouncement;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.model.upstream.UpstreamId;

/**
 * Which versions an entry may send requests to now, in all groups. Not thread-safe: the check and
 * the count of a send ({@link #trySend}) must not be interleaved with others.
 */
public final class RolloutTable {

    private final TimeSource mTime;
    private final RolloutBounds mBounds;
    private final FreshnessLease mStatus;
    private final Map<GroupId, GroupVersions> mGroups = new HashMap<>();
    private Optional<ClockReading> mOrdersReadAt = Optional.empty();

    /** Creates a table that has read nothing, and allows no upstream until orders were read. */
    public RolloutTable(TimeSource time, RolloutBounds bounds) {
        mTime = time;
        mBounds = bounds;
        mStatus = new FreshnessLease(time, bounds.statusLifetime());
    }

    /** Replaces the announced upstreams of a group; to be called before requests can choose one. */
    public void setUpstreams(GroupId group, Collection<UpstreamAnnouncement> upstreams) {
        group(group).setUpstreams(upstreams);
    }

    /** Replaces the valid requests of the operators. */
    public void setRequests(Map<GroupId, RolloutRequest> requests) {
        requests.keySet().forEach(this::group);
        mGroups.forEach((id, group) -> group.setRequest(Optional.ofNullable(requests.get(id))));
    }

    /**
     * Records that the topic of orders was read completely, after {@link #setRequests} was called
     * with its content.
     *
     * @param sentAt time at which the read was sent
     */
    public void onOrdersRead(ClockReading sentAt) {
        mOrdersReadAt = Optional.of(sentAt);
    }

    /**
     * Replaces the state of a group that was read from the status topic. A state that is older than
     * the known one of the same order, or than the end of a later order, comes from an older copy
     * of the store and is ignored.
     */
    public void setState(RolloutState state) {
        group(state.order().request().group()).setState(state);
    }

    /** Records that the status topic was read completely by a read sent at a time. */
    public void onStatusRead(ClockReading sentAt) {
        mStatus.renew(sentAt);
    }

    /** Returns the known state of a group. */
    public Optional<RolloutState> state(GroupId group) {
        return group(group).state();
    }

    /**
     * Returns which upstreams a request may be sent to now. Nothing is counted; {@link #trySend}
     * decides for the upstream that was chosen. If the rule of a first attempt is a trial and none
     * of its upstreams is available, the choice is repeated with the rule of a further attempt.
     *
     * @param route name of the route of the request
     */
    public VersionRule rule(GroupId group, String route, SendKind kind) {
        return group(group).rule(route, kind, mStatus.isHeld());
    }

    /**
     * Returns which upstreams may get a request now that continues a stream of a version. One of
     * the version on trial may go on there within the share.
     */
    public VersionRule continuationRule(GroupId group, SoftwareVersion version) {
        return group(group).continuationRule(version, mStatus.isHeld());
    }

    /**
     * Counts a send, immediately before it. If it returns false, the request must not be sent to
     * this upstream, and the choice is repeated with the rule of a further attempt.
     *
     * @param version version of the upstream; empty if it is not known now
     */
    public boolean trySend(
            GroupId group,
            String route,
            SendKind kind,
            UpstreamId upstream,
            Optional<SoftwareVersion> version) {
        return group(group).trySend(route, kind, upstream, version, mStatus.isHeld());
    }

    /**
     * Returns the side of a version in the comparison of a group; empty without an order that is
     * running.
     */
    public Optional<VersionSide> side(GroupId group, Optional<SoftwareVersion> version) {
        return group(group).side(version);
    }

    private GroupVersions group(GroupId id) {
        return mGroups.computeIfAbsent(
                id, key -> new GroupVersions(mTime, mBounds, () -> mOrdersReadAt));
    }
}
