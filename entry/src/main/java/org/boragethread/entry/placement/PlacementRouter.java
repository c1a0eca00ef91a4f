package org.boragethread.entry.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.boragethread.core.callback.CallbackGuard;
import org.boragethread.core.callback.Supervisor;
import org.boragethread.core.placement.PlacementRefusal;
import org.boragethread.core.stage.CoordinatorTable;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.Names;
import org.boragethread.model.routing.EngineLimits;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;
import org.boragethread.process.log.EventLog;
import org.boragethread.wire.proto.PlacementDecision;
import org.boragethread.wire.proto.PlacementEvent;
import org.boragethread.wire.proto.PlacementNeeds;
import org.boragethread.wire.proto.PlacementQuery;
import org.boragethread.wire.proto.PlacementReport;
import org.boragethread.wire.proto.PlacementReports;
import org.boragethread.wire.proto.PlacementRestore;

/**
 * Asks the coordinators of groups, or this entry if it is one, where requests run, and tells them
 * what becomes of the requests. If a coordinator does not respond, this entry decides by itself and
 * avoids that one for a while. Not thread-safe.
 */
public final class PlacementRouter {

    /** Time without a sign of a coordinator after which one at which requests wait is probed. */
    private static final Duration PROBE_TIME = Duration.ofMillis(250);

    /**
     * The same while requests are at engines and none waits. Within it, a new coordinator is told
     * of them after the death of the one before.
     */
    private static final Duration SLOW_PROBE_TIME = Duration.ofSeconds(1);

    /** Time after the deadline at which a decision is no longer awaited; messages take less. */
    private static final Duration DECISION_SLACK = Duration.ofMillis(250);

    private static final String COORDINATOR = "coordinator";
    private static final String SELF = "self";

    private final EntryIncarnation mSelf;
    private final CoordinatorTable mCoordinators;
    private final CoordinatorLink mPeers;
    private final PlacementServer mServer;
    private final CoordinatorLink mLocal;
    private final Scheduler mScheduler;
    private final TimeSource mTime;
    private final Supervisor mSupervisor;
    private final CallbackGuard mGuard;
    private final EventLog mLog;
    private final PlacementMetrics mMetrics;
    private final Map<GroupId, Group> mGroups = new HashMap<>();
    private long mLastNumber;

    /** A request for a placement that is not decided. */
    public interface Waiting {

        /** Withdraws the request; its outcome is not reported any more. */
        void cancel();
    }

    /**
     * Creates a router.
     *
     * @param self this entry, with its address as in the coordinator table
     * @param server places requests while this entry is the coordinator
     * @param supervisor runs what is done for no request in particular, and its guard runs the
     *     callbacks of each request for its owner
     */
    public PlacementRouter(
            EntryIncarnation self,
            CoordinatorTable coordinators,
            CoordinatorLink peers,
            PlacementServer server,
            Scheduler scheduler,
            TimeSource time,
            Supervisor supervisor,
            EventLog log,
            PlacementMetrics metrics) {
        mSelf = self;
        mCoordinators = coordinators;
        mPeers = peers;
        mServer = server;
        mSupervisor = supervisor;
        mGuard = supervisor.guard();
        mLocal = new LocalCoordinatorLink(server, mGuard);
        mScheduler = scheduler;
        mTime = time;
        mLog = log;
        mMetrics = metrics;
    }

    /**
     * Asks for an engine.
     *
     * @param needs what the request needs; the number of the placement is set here
     * @return the request, if it waits now; without effect if it does not
     */
    public Waiting place(GroupId group, PlacementNeeds.Builder needs, PlacementOutcome outcome) {
        Group state = group(group);
        Optional<Term> term = state.currentTerm();
        if (term.isEmpty()) {
            mMetrics.onPlacement("fallback-no-members", Duration.ZERO);
            logFallback(needs.getRequestId(), group, "", "no-members");
            outcome.onUnavailable();
            return () -> {};
        }
        mLastNumber++;
        PendingPlacement pending = new PendingPlacement(state, term.get(), needs, outcome);
        state.mPending.put(mLastNumber, pending);
        try {
            pending.start();
        } catch (RuntimeException e) {
            pending.withdraw();
            throw e;
        }
        state.watch();
        return pending::withdraw;
    }

    /** Returns what is told of an attempt at an engine that this entry chose by itself. */
    public PlacedAttempt track(GroupId group, PlacementNeeds.Builder needs, UpstreamId engine) {
        Group state = group(group);
        Optional<Term> term = state.currentTerm();
        mLastNumber++;
        ReportedAttempt attempt =
                new ReportedAttempt(
                        state, PlacementCodec.number(needs, mLastNumber), engine, mTime, mMetrics);
        state.mAttempts.put(mLastNumber, attempt);
        state.watch();
        term.ifPresent(current -> current.mOutbox.add(attempt.encode()));
        return attempt;
    }

    /**
     * Tells the coordinators of groups that have changed what this entry has there, even if that is
     * nothing: they place nothing until they know it of all entries.
     */
    public void restore(Collection<GroupId> groups) {
        groups.forEach(group -> group(group).currentTerm());
    }

    /** Restores what coordinators know that have changed. */
    public void onMembersChanged() {
        mGroups.values().stream().filter(Group::isActive).forEach(Group::currentTerm);
    }

    /** Returns the tokens that requests of this entry may hold at each engine. */
    public Map<UpstreamId, Long> tokensAtEngines(GroupId group, EngineLimits limits) {
        Map<UpstreamId, Long> tokens = new HashMap<>();
        for (ReportedAttempt attempt : group(group).mAttempts.values()) {
            tokens.merge(attempt.engine(), attempt.memoryTokens(limits), Long::sum);
        }
        return tokens;
    }

    /** Returns the number of requests of this entry that wait for a decision. */
    public int waiting() {
        return mGroups.values().stream().mapToInt(group -> group.mPending.size()).sum();
    }

    private Group group(GroupId id) {
        return mGroups.computeIfAbsent(id, Group::new);
    }

    private void logFallback(String requestId, GroupId group, String coordinator, String reason) {
        mLog.event("placement", requestId)
                .with("outcome", "fallback")
                .with("group", group)
                .with("coordinator", coordinator)
                .with("reason", reason)
                .warn();
    }

    /** Avoids a coordinator, once for all requests that find that it does not respond. */
    private void avoid(GroupId group, String coordinator) {
        if (mCoordinators.coordinator(group).equals(Optional.of(coordinator))) {
            mCoordinators.avoid(coordinator);
        }
    }

    /** Gives up a coordinator that does not respond, and all requests that wait there. */
    private void onUnresponsive(String coordinator) {
        mGroups.keySet().forEach(group -> avoid(group, coordinator));
        List<PendingPlacement> givenUp =
                mGroups.values().stream()
                        .flatMap(group -> group.mPending.values().stream())
                        .filter(pending -> pending.mTerm.mCoordinator.equals(coordinator))
                        .toList();
        givenUp.forEach(PendingPlacement::withdraw);
        givenUp.stream()
                .map(pending -> pending.mTerm.mOutbox)
                .distinct()
                .forEach(ReportOutbox::probe);
        givenUp.forEach(pending -> pending.fallBackForOwner("unresponsive"));
        onMembersChanged();
    }

    /** The time during which one entry coordinates a group. */
    private final class Term implements ReportOutbox.Listener {

        private final Group mGroup;
        private final String mCoordinator;
        private final CoordinatorLink mLink;
        private final ReportOutbox mOutbox;

        Term(Group group, String coordinator) {
            mGroup = group;
            mCoordinator = coordinator;
            mLink = coordinator.equals(mSelf.address()) ? mLocal : mPeers;
            PlacementReports envelope =
                    PlacementReports.newBuilder()
                            .setGroup(group.mId.value())
                            .setSender(mSelf.encode())
                            .build();
            mOutbox =
                    new ReportOutbox(
                            (reports, listener) -> mLink.report(coordinator, reports, listener),
                            envelope,
                            group::encodeAttempts,
                            this,
                            mScheduler,
                            mSupervisor,
                            mTime);
        }

        @Override
        public boolean isActive() {
            return mGroup.isActive();
        }

        @Override
        public void onConfirmed() {
            mCoordinators.onResponse(mCoordinator);
        }

        @Override
        public void onLost() {
            onUnresponsive(mCoordinator);
        }

        boolean isLocal() {
            return mLink == mLocal;
        }

        boolean isSilentFor(Duration time) {
            return !isLocal() && mOutbox.silence().compareTo(time) >= 0;
        }
    }

    /** What this entry asks and has at the engines of one group. */
    private final class Group implements ReportedAttempt.Listener {

        private final GroupId mId;
        private final Map<Long, ReportedAttempt> mAttempts = new HashMap<>();
        private final TreeMap<Long, PendingPlacement> mPending = new TreeMap<>();
        private Optional<Term> mTerm = Optional.empty();
        private boolean mWatching;

        Group(GroupId id) {
            mId = id;
        }

        /** Returns the present term, which may begin now; empty if no coordinator is known. */
        Optional<Term> currentTerm() {
            Optional<String> coordinator = mCoordinators.coordinator(mId);
            Optional<String> previous = mTerm.map(term -> term.mCoordinator);
            if (coordinator.equals(previous)) {
                return mTerm;
            }
            mTerm.ifPresent(term -> term.mOutbox.close());
            mTerm = coordinator.map(address -> new Term(this, address));
            mTerm.filter(Term::isLocal).ifPresent(term -> mServer.onTermBegun(mId));
            mTerm.ifPresent(term -> term.mOutbox.restore());
            mMetrics.onPlacementCoordinator();
            mLog.event("placement-coordinator")
                    .with("group", mId)
                    .with("coordinator", coordinator.orElse(""))
                    .with("previous", previous.orElse(""))
                    .with("atEngines", mAttempts.size())
                    .info();
            return mTerm;
        }

        PlacementRestore encodeAttempts() {
            PlacementRestore.Builder restore =
                    PlacementRestore.newBuilder()
                            .setCompleteBelow(
                                    mPending.isEmpty() ? mLastNumber + 1 : mPending.firstKey());
            mAttempts.values().forEach(attempt -> restore.addHeld(attempt.encode()));
            return restore.build();
        }

        @Override
        public void onReport(PlacementReport report) {
            currentTerm().ifPresent(term -> term.mOutbox.add(report));
        }

        @Override
        public void onEnded(long number) {
            mAttempts.remove(number);
        }

        boolean isActive() {
            return !mAttempts.isEmpty() || !mPending.isEmpty();
        }

        /** Probes the coordinator as long as requests wait there or are at engines. */
        void watch() {
            if (mWatching || !isActive()) {
                return;
            }
            mWatching = true;
            mSupervisor.run(
                    () -> mScheduler.schedule(PROBE_TIME, this::onWatchTimer),
                    () -> mWatching = false);
        }

        private void onWatchTimer() {
            mWatching = false;
            List<Term> probed = new ArrayList<>();
            for (PendingPlacement pending : mPending.values()) {
                Term term = pending.mTerm;
                if (!probed.contains(term) && term.isSilentFor(PROBE_TIME)) {
                    probed.add(term);
                }
            }
            mTerm.filter(term -> !probed.contains(term) && term.isSilentFor(SLOW_PROBE_TIME))
                    .ifPresent(probed::add);
            probed.forEach(term -> term.mOutbox.probe());
            watch();
        }
    }

    /** A request for a placement. */
    private final class PendingPlacement implements CoordinatorLink.Listener {

        private final Group mGroup;
        private final Term mTerm;
        private final String mRequestId;
        private final PlacementNeeds mNeeds;
        private final PlacementOutcome mOutcome;
        private final CallbackGuard.Owner mOwner = mGuard.current();
        private final long mAskedAt = mTime.nanoTime();
        private Optional<CoordinatorLink.Call> mCall = Optional.empty();
        private Scheduler.Timer mTimer = () -> {};
        private boolean mEnded;

        PendingPlacement(
                Group group, Term term, PlacementNeeds.Builder needs, PlacementOutcome outcome) {
            mGroup = group;
            mTerm = term;
            mRequestId = needs.getRequestId();
            mNeeds = PlacementCodec.number(needs, mLastNumber);
            mOutcome = outcome;
        }

        void start() {
            PlacementQuery asked =
                    PlacementQuery.newBuilder()
                            .setGroup(mGroup.mId.value())
                            .setSender(mSelf.encode())
                            .setNeeds(mNeeds)
                            .build();
            mCall = Optional.of(mTerm.mLink.ask(mTerm.mCoordinator, asked, this));
            if (!mEnded) {
                Duration left = Duration.ofNanos(Math.max(0, mNeeds.getDeadlineLeftNanos()));
                mTimer = mScheduler.schedule(left.plus(DECISION_SLACK), this::onOverdue);
            }
        }

        /** The coordinator responds to probes, but has neither placed nor refused in time. */
        private void onOverdue() {
            if (!mEnded) {
                withdraw();
                fallBack("overdue");
            }
        }

        private boolean end() {
            boolean ends = !mEnded;
            mEnded = true;
            mTimer.cancel();
            mGroup.mPending.remove(mNeeds.getNumber());
            return ends;
        }

        /** Cancels the call; the coordinator may have placed the request meanwhile. */
        void withdraw() {
            if (end()) {
                mCall.ifPresent(CoordinatorLink.Call::cancel);
                reportWithdrawn();
            }
        }

        private void reportWithdrawn() {
            mTerm.mOutbox.add(
                    PlacementReport.newBuilder()
                            .setNumber(mNeeds.getNumber())
                            .setEvent(PlacementEvent.PLACEMENT_EVENT_WITHDRAWN)
                            .build());
        }

        void fallBackForOwner(String reason) {
            mGuard.run(mOwner, () -> fallBack(reason));
        }

        @Override
        public void onAcknowledged() {
            // The call waits for the decision.
        }

        @Override
        public void onFailed(String reason) {
            if (!end()) {
                return;
            }
            if (!mTerm.isLocal()) {
                avoid(mGroup.mId, mTerm.mCoordinator);
                reportWithdrawn();
                mTerm.mOutbox.restore();
                mTerm.mOutbox.probe();
            }
            fallBack(reason);
        }

        @Override
        public void onInvalid() {
            if (end()) {
                fallBack("invalid");
            }
        }

        private void fallBack(String reason) {
            mMetrics.onPlacement("fallback-" + reason, mTime.since(mAskedAt));
            logFallback(mRequestId, mGroup.mId, mTerm.mCoordinator, reason);
            mOutcome.onUnavailable();
        }

        @Override
        public void onDecision(PlacementDecision decision) {
            if (!decision.getRefusal().isEmpty()) {
                onRefused(decision);
                return;
            }
            if (!Names.isValid(decision.getEngine())) {
                onFailed("malformed");
                return;
            }
            if (!end()) {
                return;
            }
            Duration waited = mTime.since(mAskedAt);
            mMetrics.onPlacement(mTerm.isLocal() ? SELF : COORDINATOR, waited);
            UpstreamId engine = new UpstreamId(decision.getEngine());
            PlacementNeeds needs = PlacementCodec.later(mNeeds, waited);
            ReportedAttempt attempt = new ReportedAttempt(mGroup, needs, engine, mTime, mMetrics);
            mGroup.mAttempts.put(mNeeds.getNumber(), attempt);
            if (!mGroup.currentTerm().equals(Optional.of(mTerm))) {
                mGroup.mTerm.ifPresent(term -> term.mOutbox.add(attempt.encode()));
            }
            mOutcome.onPlaced(engine, decision.getPrefixCached(), attempt);
        }

        private void onRefused(PlacementDecision decision) {
            Optional<PlacementRefusal.Reason> reason =
                    Arrays.stream(PlacementRefusal.Reason.values())
                            .filter(known -> known.name().equals(decision.getRefusal()))
                            .findFirst();
            if (reason.isEmpty()) {
                onFailed("malformed");
            } else if (end()) {
                mMetrics.onPlacementRefused(reason.get().name().toLowerCase(Locale.ROOT));
                mOutcome.onRefused(
                        reason.get(), ReportedDelay.decode(decision.getRetryAfterNanos()));
            }
        }
    }
}
