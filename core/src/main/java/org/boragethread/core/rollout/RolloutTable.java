package org.boragethread.core.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.boragethread.core.follow.ClockReading;
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
    private final Map<GroupId, GroupVersions> mGroups = new HashMap<>();
    private Optional<ClockReading> mOrdersReadAt = Optional.empty();
    private Optional<ClockReading> mStatusReadAt = Optional.empty();

    /** Creates a table that has read nothing, and allows no upstream until orders were read. */
    public RolloutTable(TimeSource time, RolloutBounds bounds) {
        mTime = time;
        mBounds = bounds;
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
     * Replaces the state of a group, read from the status topic or heard from another entry that
     * read it. A state that is older than the known one of the same order is ignored.
     */
    public void setState(RolloutState state) {
        group(state.order().request().group()).setState(state);
    }

    /** Records that the status topic was read completely by a read sent at a time. */
    public void onStatusRead(ClockReading sentAt) {
        mStatusReadAt = Optional.of(sentAt);
    }

    /** Returns the known state of a group. */
    public Optional<RolloutState> state(GroupId group) {
        return group(group).state();
    }

    /**
     * Returns which upstreams a request may be sent to now. Nothing is counted; {@link #trySend}
     * decides for the upstream that was chosen.
     *
     * @param route name of the route of the request
     */
    public VersionRule rule(GroupId group, String route, SendKind kind) {
        return group(group).rule(route, kind, isStatusFresh());
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
        return group(group).trySend(route, kind, upstream, version, isStatusFresh());
    }

    /**
     * Returns the side of a version in the comparison of a group; empty without an order that is
     * running.
     */
    public Optional<VersionSide> side(GroupId group, Optional<SoftwareVersion> version) {
        return group(group).side(version);
    }

    private boolean isStatusFresh() {
        return mStatusReadAt
                .filter(sentAt -> sentAt.age(mTime).compareTo(mBounds.statusLifetime()) < 0)
                .isPresent();
    }

    private GroupVersions group(GroupId id) {
        return mGroups.computeIfAbsent(
                id, key -> new GroupVersions(mTime, mBounds, () -> mOrdersReadAt));
    }
}
