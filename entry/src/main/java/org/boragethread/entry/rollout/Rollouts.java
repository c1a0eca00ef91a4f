package org.boragethread.entry.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.follow.FreshnessLease;
import org.boragethread.core.follow.TopicFollower;
import org.boragethread.core.follow.TopicListener;
import org.boragethread.core.member.Member;
import org.boragethread.core.rollout.EntryReport;
import org.boragethread.core.rollout.RolloutBounds;
import org.boragethread.core.rollout.RolloutLog;
import org.boragethread.core.rollout.RolloutRequest;
import org.boragethread.core.rollout.RolloutState;
import org.boragethread.core.rollout.RolloutTable;
import org.boragethread.core.rollout.SendKind;
import org.boragethread.core.rollout.VersionRule;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.routing.UpstreamAnnouncement;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.process.log.EventLog;

/**
 * The roll-outs of all groups, as far as this process takes part in them. Without bounds in the
 * settings no roll-out is carried out, and every upstream may be used. Not thread-safe.
 */
public final class Rollouts implements RolloutOrders.Receiver, RolloutStatus.Receiver {

    /**
     * Time after the removal of an order in which the states are still followed: an append that got
     * no response may be executed seconds later, and would record the order as running.
     */
    private static final long REMOVAL_NANOS = Duration.ofSeconds(10).toNanos();

    private final RolloutContext mContext;
    private final Optional<RolloutBounds> mBounds;
    private final Optional<RolloutTable> mTable;
    private final FreshnessLease mStatusLease;
    private final RolloutMetrics mMetrics;
    private final Map<GroupId, GroupRollout> mGroups = new HashMap<>();
    private final Set<GroupId> mChangedGroups = new LinkedHashSet<>();
    private Map<GroupId, RolloutRequest> mRequests = Map.of();
    private Optional<Long> mUpstreamsKnownAt = Optional.empty();
    private Optional<ClockReading> mOrdersReadAt = Optional.empty();
    private boolean mStatusKnown;
    private boolean mStatusReadOnce;
    private Optional<Long> mLateStateUntil = Optional.empty();
    private Optional<Participation> mParticipation = Optional.empty();
    private Optional<TopicFollower> mFollower = Optional.empty();
    private Collection<Member> mMembers = List.of();

    /**
     * What this process needs to take part.
     *
     * @param self membership of this process
     * @param log where states are recorded
     * @param createFollower creates a follower of the topic of the states, for a listener and with
     *     a long-poll time
     */
    private record Participation(
            Member self,
            RolloutLog log,
            BiFunction<TopicListener, Duration, TopicFollower> createFollower) {}

    /**
     * Creates roll-outs of which nothing is known.
     *
     * @param bounds bounds of roll-outs, whose departure time is replaced by that of the context;
     *     empty if none is to be carried out
     * @param leaseTime lifetime of the configuration lease, in which the states must be read too
     */
    public Rollouts(RolloutContext context, Optional<RolloutBounds> bounds, Duration leaseTime) {
        mContext = context;
        mBounds = bounds;
        mTable = bounds.map(limits -> new RolloutTable(context.time(), limits));
        mStatusLease = new FreshnessLease(context.time(), leaseTime);
        mMetrics = new RolloutMetrics(context.meters());
    }

    /** Starts to read the states; to be called before the orders are read. */
    public void start(
            Member self,
            RolloutLog log,
            BiFunction<TopicListener, Duration, TopicFollower> createFollower) {
        mParticipation = Optional.of(new Participation(self, log, createFollower));
        followWhileNeeded();
    }

    /** Returns what applies the orders in the topic of operators' records. */
    public TopicListener orders() {
        return new RolloutOrders(this, mContext.time(), mContext.scheduler(), mContext.log());
    }

    /**
     * Returns whether it is known which versions may be used, or no roll-out is to be carried out.
     */
    public boolean isReady() {
        return mTable.isEmpty() || areOrdersKnown() && mStatusKnown;
    }

    /** Returns whether the orders are known that came before the first upstreams. */
    private boolean areOrdersKnown() {
        return mOrdersReadAt
                .filter(at -> mUpstreamsKnownAt.map(known -> at.nanos() - known > 0).orElse(true))
                .isPresent();
    }

    /**
     * Returns whether an order to roll out a version of a group has not ended, so that this process
     * has to limit and count what it sends to each version.
     */
    public boolean isRunning(GroupId group) {
        return mTable.flatMap(table -> table.state(group))
                .map(state -> !state.phase().isEnded())
                .orElse(mRequests.containsKey(group));
    }

    /** Returns which upstreams of a group a request may be sent to now. */
    public VersionRule rule(GroupId group, String route, SendKind kind) {
        if (mTable.isEmpty()) {
            return VersionRule.ANY;
        }
        updateUpstreams();
        return isUncertain(group) ? VersionRule.NONE : mTable.get().rule(group, route, kind);
    }

    /** Returns which upstreams may get a request now that continues a stream of a version. */
    public VersionRule continuationRule(GroupId group, SoftwareVersion version) {
        if (mTable.isEmpty()) {
            return VersionRule.ANY;
        }
        updateUpstreams();
        return isUncertain(group)
                ? VersionRule.NONE
                : mTable.get().continuationRule(group, version);
    }

    /**
     * Counts a send, immediately before it.
     *
     * @return whether the request may be sent to the upstream
     */
    public boolean trySend(GroupId group, String route, SendKind kind, UpstreamNode node) {
        if (mTable.isEmpty()) {
            return true;
        }
        updateUpstreams();
        RolloutTable table = mTable.get();
        if (isUncertain(group)
                || !table.trySend(group, route, kind, node.entry().id(), node.softwareVersion())) {
            mMetrics.onHeldBack(group);
            return false;
        }
        table.side(group, node.softwareVersion())
                .ifPresent(side -> mMetrics.onSend(group, route, side, kind));
        return true;
    }

    /**
     * Returns whether the old version may be out of use by now: the coordinator completes a
     * roll-out without the reports of an entry that was gone for the lifetime of its lease.
     */
    private boolean isUncertain(GroupId group) {
        return !mStatusLease.isHeld() && hasOrderInProgress(group);
    }

    /** Returns whether an order has not ended, as far as this process knows. */
    private boolean hasOrderInProgress(GroupId group) {
        Optional<RolloutState> state = mTable.orElseThrow().state(group);
        Optional<RolloutRequest> request = Optional.ofNullable(mRequests.get(group));
        boolean isPending =
                request.filter(wanted -> state.filter(known -> known.isOf(wanted)).isEmpty())
                        .isPresent();
        return isPending || state.filter(known -> !known.phase().isEnded()).isPresent();
    }

    /** Called when a request is sent to an upstream; returns what counts how it ends. */
    public UpstreamUse begin(GroupId group, String route, UpstreamNode node) {
        return mTable.isEmpty() ? UpstreamUse.NONE : group(group).uses().begin(route, node);
    }

    /** Called when an upstream of a group, or the version of one, was announced or removed. */
    public void onUpstreamsChanged(GroupId group) {
        if (mTable.isEmpty()) {
            return;
        }
        if (mUpstreamsKnownAt.isEmpty()) {
            mUpstreamsKnownAt = Optional.of(mContext.time().nanoTime());
        }
        // A snapshot changes thousands of upstreams, whose versions are then updated together.
        if (mChangedGroups.isEmpty()) {
            mContext.scheduler().schedule(Duration.ZERO, this::updateUpstreams);
        }
        mChangedGroups.add(group);
    }

    private void updateUpstreams() {
        if (mChangedGroups.isEmpty()) {
            return;
        }
        List<GroupId> changed = List.copyOf(mChangedGroups);
        mChangedGroups.clear();
        for (GroupId group : changed) {
            List<UpstreamAnnouncement> entries = new ArrayList<>();
            mContext.directory().of(group).forEach(node -> entries.add(node.entry()));
            mTable.orElseThrow().setUpstreams(group, entries);
        }
    }

    @Override
    public void onRequests(Map<GroupId, RolloutRequest> requests) {
        if (requests.equals(mRequests)) {
            return;
        }
        Map<GroupId, RolloutRequest> previous = mRequests;
        mRequests = requests;
        requests.forEach(
                (group, request) -> {
                    if (!request.equals(previous.get(group))) {
                        logOrder(request);
                    }
                });
        for (GroupId group : previous.keySet()) {
            if (!requests.containsKey(group)) {
                order(group).with("outcome", "removed").info();
                mLateStateUntil = Optional.of(mContext.time().nanoTime() + REMOVAL_NANOS);
            }
        }
        if (mTable.isPresent()) {
            mTable.get().setRequests(requests);
            requests.keySet().forEach(this::group);
            followWhileNeeded();
        }
    }

    private EventLog.Line order(GroupId group) {
        return mContext.log().event("rollout-order").with("group", group);
    }

    private void logOrder(RolloutRequest request) {
        EventLog.Line line =
                order(request.group())
                        .with("target", request.target())
                        .with("periodMs", request.period().toMillis());
        if (mTable.isEmpty()) {
            line.with("outcome", "not-served")
                    .with("remedy", "set trial_share in [rollouts] of the entries' settings")
                    .warn();
        } else if (!mContext.isConfigured().test(request.group())) {
            line.with("outcome", "unknown-service")
                    .with("remedy", "configure the service, or remove the order")
                    .warn();
        } else {
            line.with("outcome", "read").info();
        }
    }

    @Override
    public void onOrdersRead(ClockReading asOf) {
        if (mTable.isEmpty()) {
            return;
        }
        mTable.get().onOrdersRead(asOf);
        mOrdersReadAt = Optional.of(asOf);
        forEachGroup(
                group -> group.setRequest(Optional.ofNullable(mRequests.get(group.id())), asOf));
        confirmWithoutOrder(asOf);
        followWhileNeeded();
    }

    /**
     * Confirms the states that are not followed: without an order none of them changes. If the
     * orders were not read for the lifetime of the lease, one may have begun and ended meanwhile,
     * so that the states are unknown until they are read again.
     */
    private void confirmWithoutOrder(ClockReading asOf) {
        if (mFollower.isPresent()) {
            return;
        }
        if (mStatusLease.isHeld()) {
            mStatusLease.renew(asOf);
        } else {
            mStatusKnown = false;
        }
    }

    @Override
    public void onOrdersRestored() {
        onStatusRestored();
        // Reads all states of the older copy, as it is not known which copy was read so far.
        mFollower.ifPresent(TopicFollower::stop);
        mFollower = Optional.empty();
        followWhileNeeded();
    }

    @Override
    public void onStatusRestored() {
        forEachGroup(GroupRollout::onStoreRestored);
    }

    @Override
    public void onState(RolloutState state) {
        GroupId id = state.order().request().group();
        RolloutTable table = mTable.orElseThrow();
        Optional<RolloutState> previous = table.state(id);
        table.setState(state);
        GroupRollout group = group(id);
        group.onState(state);
        Optional<RolloutState> current = table.state(id);
        if (!current.equals(previous)) {
            mContext.log()
                    .event("rollout")
                    .with("group", id)
                    .with("target", state.target())
                    .with("phase", state.phase())
                    .with("revision", state.revision())
                    .with("started", state.order().startedMillis())
                    .with("outcome", "in-force")
                    .info();
            report(group);
        }
        if (mFollower.isEmpty()) {
            followWhileNeeded();
        }
    }

    @Override
    public void onStatusRead(ClockReading asOf) {
        mTable.orElseThrow().onStatusRead(asOf);
        mStatusLease.renew(asOf);
        mStatusKnown = true;
        mStatusReadOnce = true;
        mLateStateUntil = mLateStateUntil.filter(until -> asOf.nanos() - until < 0);
        followWhileNeeded();
    }

    @Override
    public void onStatusLost(String detail) {
        dependency("lost").with("detail", detail).warn();
    }

    @Override
    public void onStatusRegained() {
        dependency("regained").info();
    }

    private EventLog.Line dependency(String outcome) {
        return mContext.log()
                .event("dependency")
                .with("name", "store-rollouts")
                .with("outcome", outcome);
    }

    /**
     * Follows the states once at the start, then while there is an order, while one has not ended
     * or its removal is not recorded, and until it is certain that one that was removed is not
     * recorded as running later.
     */
    private void followWhileNeeded() {
        if (mParticipation.isEmpty() || mTable.isEmpty()) {
            return;
        }
        boolean needed =
                !mStatusKnown
                        || !mRequests.isEmpty()
                        || mLateStateUntil.isPresent()
                        || mGroups.values().stream().anyMatch(GroupRollout::isUnsettled);
        if (needed && mFollower.isEmpty()) {
            Participation part = mParticipation.get();
            StatusReads reads = StatusReads.of(part.self().address(), mBounds.get());
            RolloutStatus listener = new RolloutStatus(this, mContext.log());
            TopicFollower follower = part.createFollower().apply(listener, reads.pollTime());
            mFollower = Optional.of(follower);
            // All entries return at once after an order, and after an outage of the store.
            Duration delay = mStatusReadOnce ? reads.startDelay() : Duration.ZERO;
            mContext.scheduler().schedule(delay, follower::start);
        } else if (!needed && mFollower.isPresent()) {
            mFollower.get().stop();
            mFollower = Optional.empty();
        }
    }

    /** Replaces the live entries, this one included. */
    public void setMembers(Collection<Member> members) {
        mMembers = members;
        mContext.coordinators().setMembers(List.copyOf(members));
        forEachGroup(group -> group.setMembers(members));
    }

    /** Tells the coordinators what this process has seen; to be called periodically. */
    public void reportAll() {
        forEachGroup(this::report);
    }

    private void report(GroupRollout group) {
        if (!group.needsCoordinator()) {
            return;
        }
        Optional<EntryReport> report = group.nextReport();
        Optional<String> coordinator = mContext.coordinators().coordinator(group.id());
        if (coordinator.map(this::isSelf).orElse(true)) {
            report.ifPresent(group::onReport);
            return;
        }
        String peer = coordinator.get();
        Runnable onFailure = () -> onReportLost(group.id(), peer);
        if (report.isPresent()) {
            mContext.peers().send(peer, report.get(), onFailure);
        } else {
            // Without a state that is recorded, a coordinator that ended would not be noticed.
            mContext.peers().probe(peer, onFailure);
        }
    }

    private void onReportLost(GroupId group, String peer) {
        mMetrics.onReport("lost");
        mContext.coordinators().avoid(peer);
        mContext.log()
                .event("rollout-report")
                .with("group", group)
                .with("peer", peer)
                .with("outcome", "lost")
                .warn();
    }

    /** Returns whether this process can decide on roll-outs. */
    boolean canCoordinate() {
        return mTable.isPresent() && mParticipation.isPresent();
    }

    /**
     * Takes a report of another entry, if this process can decide on roll-outs.
     *
     * @return whether it is about a group that this process knows
     */
    boolean onReport(EntryReport report) {
        GroupId id = report.state().order().request().group();
        if (!mGroups.containsKey(id) && !mContext.isConfigured().test(id)) {
            return false;
        }
        mMetrics.onReport("received");
        group(id).onReport(report);
        return true;
    }

    /** Decides on the roll-outs that this process coordinates; to be called periodically. */
    public void tick() {
        forEachGroup(
                group -> {
                    Optional<String> coordinator = mContext.coordinators().coordinator(group.id());
                    if (coordinator.map(this::isSelf).orElse(true)) {
                        group.tick();
                    }
                });
    }

    /** Runs an action for each group; one that throws is reported and does not stop the others. */
    private void forEachGroup(Consumer<GroupRollout> action) {
        for (GroupRollout group : List.copyOf(mGroups.values())) {
            mContext.supervisor().run(() -> action.accept(group), () -> {});
        }
    }

    private boolean isSelf(String address) {
        return mParticipation.filter(part -> part.self().address().equals(address)).isPresent();
    }

    private GroupRollout group(GroupId id) {
        return mGroups.computeIfAbsent(id, this::createGroup);
    }

    private GroupRollout createGroup(GroupId id) {
        Participation part = mParticipation.orElseThrow();
        RolloutBounds bounds = mBounds.orElseThrow();
        GroupRollout group =
                new GroupRollout(
                        id,
                        mContext,
                        bounds,
                        mTable.orElseThrow(),
                        part.log(),
                        part.self(),
                        mMetrics,
                        this::onState);
        group.setMembers(mMembers);
        return group;
    }
}
