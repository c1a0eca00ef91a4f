package org.boragethread.entry.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.boragethread.core.callback.CallbackGuard;
import org.boragethread.core.callback.Supervisor;
import org.boragethread.core.placement.HeldPlacement;
import org.boragethread.core.placement.Placement;
import org.boragethread.core.placement.PlacementCoordinator;
import org.boragethread.core.placement.PlacementFailure;
import org.boragethread.core.placement.PlacementKey;
import org.boragethread.core.placement.PlacementListener;
import org.boragethread.core.placement.PlacementRefusal;
import org.boragethread.core.placement.PlacementRequest;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;
import org.boragethread.wire.proto.PlacementDecision;
import org.boragethread.wire.proto.PlacementHeld;
import org.boragethread.wire.proto.PlacementNeeds;
import org.boragethread.wire.proto.PlacementQuery;
import org.boragethread.wire.proto.PlacementReport;
import org.boragethread.wire.proto.PlacementReports;
import org.boragethread.wire.proto.PlacementRestore;

/**
 * Places the requests of all entries while this entry coordinates groups of engines. Knows which
 * placements each entry has, so that those of an entry that has ended don't count as load. Not
 * thread-safe.
 */
public final class PlacementServer {

    /** Number of placements after which those that have expired unreported are looked for. */
    private static final int PRUNE_INTERVAL = 256;

    /**
     * Age up to which a restore is of the present term. Entries notice the end of the coordinator
     * before at different times, the last ones when its membership has expired, after 2.5 s.
     */
    private static final Duration TERM_SLACK = Duration.ofSeconds(5);

    private static final PlacementHandle WITHDRAWN = () -> {};

    private final Groups mGroups;
    private final TimeSource mTime;
    private final Map<GroupId, Coordination> mCoordinations = new HashMap<>();
    private Set<String> mMembers = Set.of();

    /** The groups of engines that may be coordinated. */
    public interface Groups {

        /** Returns a new coordinator of a group; empty if this entry knows no such group. */
        Optional<PlacementCoordinator> createCoordinator(GroupId group);

        /** Returns what runs the callbacks of a coordinator. */
        Supervisor supervisor(GroupId group);

        /** Returns the engines of a group that are outside of all the given regions. */
        Set<UpstreamId> outside(GroupId group, Set<String> regions);
    }

    /** Receives what becomes of a request that waits: one of the two, once, possibly at once. */
    public interface Receiver {

        void onDecision(PlacementDecision decision);

        /**
         * The sender is not a live entry as far as this one knows, so the request is not placed.
         * The sender may be alive, but unable to renew its membership; it then decides by itself.
         */
        void onSenderEnded();
    }

    /** A request that may still wait. */
    public interface PlacementHandle {

        /** Withdraws the request, whether it waits or was placed. */
        void withdraw();
    }

    /** Creates a server that coordinates no group yet. */
    public PlacementServer(Groups groups, TimeSource time) {
        mGroups = groups;
        mTime = time;
    }

    /** Returns whether this entry can coordinate a group. */
    public boolean coordinates(GroupId group) {
        return coordination(group).isPresent();
    }

    /**
     * Places a request.
     *
     * @param receiver gets the decision, possibly at once
     * @return empty if this entry can't decide, and the receiver is not called
     * @throws IllegalArgumentException if the message is malformed
     */
    public Optional<PlacementHandle> place(PlacementQuery asked, Receiver receiver) {
        Optional<Coordination> found = coordination(new GroupId(asked.getGroup()));
        if (found.isEmpty()) {
            return Optional.empty();
        }
        Coordination coordination = found.get();
        Optional<Sender> sender = coordination.sender(EntryIncarnation.decode(asked.getSender()));
        if (sender.isEmpty()) {
            return Optional.empty();
        }
        long number = asked.getNeeds().getNumber();
        if (sender.get().mWithdrawn.remove(number)) {
            return Optional.of(WITHDRAWN);
        }
        PlacementRequest request = coordination.decode(sender.get(), asked.getNeeds(), mTime);
        sender.get().track(request, mTime.nanoTime());
        sender.get().mReceivers.put(number, receiver);
        boolean accepted =
                coordination.run(
                        () -> coordination.mCoordinator.place(request, new Reply(sender.get())));
        PlacementHandle decided = () -> coordination.withdraw(sender.get(), number, false);
        if (!accepted) {
            decided.withdraw();
            return Optional.empty();
        }
        return Optional.of(decided);
    }

    /** Applies what has happened to requests of an entry. Malformed items have no effect. */
    public ReportResult apply(PlacementReports reports) {
        Optional<Coordination> found = coordination(new GroupId(reports.getGroup()));
        if (found.isEmpty()) {
            // The configuration may not be known here yet.
            return ReportResult.RESTORE_NEEDED;
        }
        Coordination coordination = found.get();
        Optional<Sender> sender = coordination.sender(EntryIncarnation.decode(reports.getSender()));
        if (sender.isEmpty()) {
            return ReportResult.REFUSED;
        }
        coordination.run(
                () ->
                        coordination.mCoordinator.batch(
                                () -> apply(coordination, sender.get(), reports)));
        return sender.get().mRestored ? ReportResult.CONFIRMED : ReportResult.RESTORE_NEEDED;
    }

    private void apply(Coordination coordination, Sender sender, PlacementReports reports) {
        if (reports.hasRestore()) {
            if (coordination.restore(sender, reports, mTime)) {
                sender.onRestored(mTime.nanoTime());
            }
            coordination.updateUnreported();
        }
        coordination.add(sender, reports.getHeldList(), mTime);
        for (PlacementReport report : reports.getReportsList()) {
            coordination.apply(sender, report);
        }
    }

    /**
     * Ends the waiting requests of entries that have ended. What they have at engines may still
     * run, since an entry that can't renew its membership is alive, and counts until it ends.
     *
     * @param members addresses of the live entries
     */
    public void onMembersChanged(Set<String> members) {
        Set<String> ended = new HashSet<>(mMembers);
        ended.removeAll(members);
        mMembers = Set.copyOf(members);
        for (Coordination coordination : mCoordinations.values()) {
            ended.forEach(coordination::onEntryUnlisted);
            coordination.removeExpiredSenders(members);
            coordination.updateUnreported();
        }
    }

    /**
     * Called when this entry becomes the coordinator of a group, perhaps again. What entries have
     * restored in an earlier term is outdated.
     */
    public void onTermBegun(GroupId group) {
        coordination(group).ifPresent(Coordination::onTermBegun);
    }

    /** Called when announcements of engines may have changed. */
    public void onEnginesChanged() {
        for (Coordination coordination : mCoordinations.values()) {
            if (coordination.mCoordinator.waiting() > 0) {
                coordination.run(coordination.mCoordinator::onEnginesChanged);
            }
        }
    }

    /** Returns the number of requests that wait here for an engine. */
    public int waiting() {
        return mCoordinations.values().stream()
                .mapToInt(coordination -> coordination.mCoordinator.waiting())
                .sum();
    }

    /** Returns the number of requests that are at engines as far as this entry coordinates them. */
    public int placed() {
        return mCoordinations.values().stream()
                .mapToInt(coordination -> coordination.mCoordinator.placed())
                .sum();
    }

    private Optional<Coordination> coordination(GroupId group) {
        Coordination known = mCoordinations.get(group);
        if (known != null) {
            return Optional.of(known);
        }
        Optional<Coordination> created =
                mGroups.createCoordinator(group)
                        .map(coordinator -> new Coordination(group, coordinator));
        created.ifPresent(coordination -> mCoordinations.put(group, coordination));
        return created;
    }

    /** Delivers the decision about one request. */
    private record Reply(Sender sender) implements PlacementListener {

        @Override
        public void onPlaced(Placement placement) {
            deliver(placement.key(), PlacementCodec.encode(placement));
        }

        @Override
        public void onRefused(PlacementRefusal refusal) {
            sender.mPlacements.remove(refusal.key().attempt());
            deliver(refusal.key(), PlacementCodec.encode(refusal));
        }

        private void deliver(PlacementKey key, PlacementDecision decision) {
            Receiver receiver = sender.mReceivers.remove(key.attempt());
            if (receiver != null) {
                receiver.onDecision(decision);
            }
        }
    }

    /**
     * A placement that has not ended, as far as it is known.
     *
     * @param expiryNanos monotonic time after which it has certainly ended
     */
    private record Tracked(PlacementKey key, long expiryNanos) {}

    /** What the run of one entry has at the engines of a group. */
    private static final class Sender {

        private final EntryIncarnation mRun;
        private final Map<Long, Tracked> mPlacements = new HashMap<>();
        private final Map<Long, Receiver> mReceivers = new LinkedHashMap<>();
        private final EarlyWithdrawals mWithdrawn = new EarlyWithdrawals();
        private boolean mRestored;
        private long mRestoredAt;
        private int mTracked;

        Sender(EntryIncarnation run) {
            mRun = run;
        }

        void track(PlacementRequest request, long now) {
            mPlacements.put(
                    request.key().attempt(), new Tracked(request.key(), request.expiryNanos()));
            mTracked++;
            if (mTracked % PRUNE_INTERVAL == 0) {
                removeExpired(now);
            }
        }

        void onRestored(long now) {
            mRestored = true;
            mRestoredAt = now;
        }

        void removeExpired(long now) {
            mPlacements.values().removeIf(placement -> now - placement.expiryNanos() > 0);
        }
    }

    /** The coordination of one group. */
    private final class Coordination {

        private final GroupId mGroup;
        private final PlacementCoordinator mCoordinator;
        private final Supervisor mSupervisor;
        private final Map<String, Sender> mSenders = new HashMap<>();

        Coordination(GroupId group, PlacementCoordinator coordinator) {
            mGroup = group;
            mCoordinator = coordinator;
            mSupervisor = mGroups.supervisor(group);
            updateUnreported();
        }

        void onTermBegun() {
            long now = mTime.nanoTime();
            for (Sender sender : mSenders.values()) {
                sender.mRestored &= now - sender.mRestoredAt < TERM_SLACK.toNanos();
            }
            updateUnreported();
        }

        /** Holds back memory for what live entries have not restored. */
        void updateUnreported() {
            int unreported = 0;
            for (String member : mMembers) {
                Sender sender = mSenders.get(member);
                unreported += sender == null || !sender.mRestored ? 1 : 0;
            }
            int count = unreported;
            run(() -> mCoordinator.setUnreported(count, mMembers.size()));
        }

        /** Runs a step of the coordinator, whose failures are not those of a request. */
        boolean run(Runnable step) {
            CallbackGuard guard = mSupervisor.guard();
            return guard.run(mSupervisor.report(), step);
        }

        /** Returns the run of an entry; empty if a later run of it is known. */
        Optional<Sender> sender(EntryIncarnation run) {
            Sender known = mSenders.get(run.address());
            if (known != null && known.mRun.number() > run.number()) {
                return Optional.empty();
            }
            if (known != null && known.mRun.number() < run.number()) {
                onEntryRestarted(run.address());
            }
            return Optional.of(mSenders.computeIfAbsent(run.address(), address -> new Sender(run)));
        }

        /** Ends what waits; what was placed is known until the entry restores or it expires. */
        void onEntryUnlisted(String address) {
            Sender unlisted = mSenders.get(address);
            if (unlisted == null) {
                return;
            }
            unlisted.mRestored = false;
            List<Receiver> waiting = List.copyOf(unlisted.mReceivers.values());
            unlisted.mPlacements.keySet().removeAll(unlisted.mReceivers.keySet());
            unlisted.mReceivers.clear();
            run(() -> mCoordinator.onEntryGone(unlisted.mRun.name()));
            waiting.forEach(receiver -> run(receiver::onSenderEnded));
        }

        void removeExpiredSenders(Set<String> members) {
            long now = mTime.nanoTime();
            mSenders.values().forEach(sender -> sender.removeExpired(now));
            mSenders.values()
                    .removeIf(
                            sender ->
                                    sender.mPlacements.isEmpty()
                                            && !members.contains(sender.mRun.address()));
        }

        /** Withdraws what an earlier run had: its process has ended, and its connections too. */
        private void onEntryRestarted(String address) {
            Sender ended = mSenders.remove(address);
            if (ended == null) {
                return;
            }
            // Nothing is delivered for what is placed while the others are withdrawn.
            List<Receiver> waiting = List.copyOf(ended.mReceivers.values());
            ended.mReceivers.clear();
            List.copyOf(ended.mPlacements.values())
                    .forEach(placement -> run(() -> mCoordinator.withdraw(placement.key())));
            waiting.forEach(receiver -> run(receiver::onSenderEnded));
        }

        PlacementRequest decode(Sender sender, PlacementNeeds needs, TimeSource time) {
            Set<UpstreamId> outside =
                    needs.getRegionsCount() == 0
                            ? Set.of()
                            : mGroups.outside(mGroup, Set.copyOf(needs.getRegionsList()));
            PlacementKey key = PlacementCodec.key(sender.mRun, needs);
            return PlacementCodec.decode(key, needs, outside, time.nanoTime());
        }

        void withdraw(Sender sender, long number, boolean remember) {
            Tracked placement = sender.mPlacements.remove(number);
            sender.mReceivers.remove(number);
            if (placement != null) {
                run(() -> mCoordinator.withdraw(placement.key()));
            } else if (remember) {
                sender.mWithdrawn.add(number);
            }
        }

        /** Returns false if requests that the restore only lists by number are not known. */
        boolean restore(Sender sender, PlacementReports reports, TimeSource time) {
            PlacementRestore restore = reports.getRestore();
            Set<Long> listed =
                    restore.getHeldList().stream()
                            .map(held -> held.getNeeds().getNumber())
                            .collect(Collectors.toSet());
            // How those ended that are not listed any more is in the reports.
            reports.getReportsList().forEach(report -> listed.add(report.getNumber()));
            for (long number : List.copyOf(sender.mPlacements.keySet())) {
                if (number < restore.getCompleteBelow() && !listed.contains(number)) {
                    withdraw(sender, number, false);
                }
            }
            add(sender, restore.getHeldList(), time);
            return restore.getHeldList().stream()
                    .allMatch(
                            held ->
                                    !held.getEngine().isEmpty()
                                            || sender.mPlacements.containsKey(
                                                    held.getNeeds().getNumber()));
        }

        void add(Sender sender, List<PlacementHeld> held, TimeSource time) {
            long now = time.nanoTime();
            List<HeldPlacement> added = new ArrayList<>();
            for (PlacementHeld placement : held) {
                if (!sender.mPlacements.containsKey(placement.getNeeds().getNumber())) {
                    decode(sender, placement, time, now).ifPresent(added::add);
                }
            }
            added.forEach(placement -> sender.track(placement.request(), now));
            if (!added.isEmpty()) {
                run(() -> mCoordinator.restore(added));
            }
        }

        /** Returns a held placement; empty if it is malformed, so that others still count. */
        private Optional<HeldPlacement> decode(
                Sender sender, PlacementHeld placement, TimeSource time, long now) {
            try {
                return Optional.of(
                        new HeldPlacement(
                                decode(sender, placement.getNeeds(), time),
                                new UpstreamId(placement.getEngine()),
                                now - PlacementCodec.age(placement.getAgeNanos()).toNanos(),
                                placement.getFirstEventSeen()));
            } catch (IllegalArgumentException e) {
                return Optional.empty();
            }
        }

        void apply(Sender sender, PlacementReport report) {
            switch (report.getEvent()) {
                case PLACEMENT_EVENT_FIRST_EVENT -> {
                    Tracked placement = sender.mPlacements.get(report.getNumber());
                    if (placement != null) {
                        Duration time = PlacementCodec.age(report.getResponseTimeNanos());
                        run(() -> mCoordinator.onFirstEvent(placement.key(), time));
                    }
                }
                case PLACEMENT_EVENT_WITHDRAWN -> withdraw(sender, report.getNumber(), true);
                case PLACEMENT_EVENT_COMPLETED -> end(sender, report, mCoordinator::onCompleted);
                case PLACEMENT_EVENT_ENDED -> end(sender, report, mCoordinator::onEnded);
                case PLACEMENT_EVENT_REJECTED -> end(sender, report, mCoordinator::reject);
                case PLACEMENT_EVENT_REFUSED -> fail(sender, report, PlacementFailure.REFUSED);
                case PLACEMENT_EVENT_FAILED -> fail(sender, report, PlacementFailure.FAILED);
                case PLACEMENT_EVENT_BROKEN -> fail(sender, report, PlacementFailure.BROKEN);
                default -> {
                    // A later version of the sender reports something that is not known here.
                }
            }
        }

        private void fail(Sender sender, PlacementReport report, PlacementFailure failure) {
            end(sender, report, key -> mCoordinator.onFailed(key, failure));
        }

        private void end(Sender sender, PlacementReport report, Consumer<PlacementKey> end) {
            Tracked placement = sender.mPlacements.remove(report.getNumber());
            if (placement != null) {
                run(() -> end.accept(placement.key()));
            }
        }
    }
}
