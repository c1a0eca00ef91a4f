package org.boragethread.entry.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.boragethread.core.callback.CallbackGuard;
import org.boragethread.core.placement.PlacementFailure;
import org.boragethread.core.placement.PlacementRefusal;
import org.boragethread.core.stage.CoordinatorTable;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.Names;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;
import org.boragethread.process.log.EventLog;
import org.boragethread.wire.proto.PlacementAsked;
import org.boragethread.wire.proto.PlacementDecision;
import org.boragethread.wire.proto.PlacementEvent;
import org.boragethread.wire.proto.PlacementHeld;
import org.boragethread.wire.proto.PlacementNeeds;
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

    private static final String COORDINATOR = "coordinator";
    private static final String LOCAL = "local-shortcut";

    private final EntryRun mSelf;
    private final CoordinatorTable mCoordinators;
    private final CoordinatorLink mPeers;
    private final CoordinatorLink mLocal;
    private final Scheduler mScheduler;
    private final TimeSource mTime;
    private final CallbackGuard mGuard;
    private final EventLog mLog;
    private final PlacementMetrics mMetrics;
    private final Map<GroupId, Group> mGroups = new HashMap<>();
    private int mLastNumber;

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
     * @param guard runs the callbacks of each request for its owner
     */
    public PlacementRouter(
            EntryRun self,
            CoordinatorTable coordinators,
            CoordinatorLink peers,
            PlacementServer server,
            Scheduler scheduler,
            TimeSource time,
            CallbackGuard guard,
            EventLog log,
            PlacementMetrics metrics) {
        mSelf = self;
        mCoordinators = coordinators;
        mPeers = peers;
        mLocal = new LocalCoordinatorLink(server, guard);
        mScheduler = scheduler;
        mTime = time;
        mGuard = guard;
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
        Question question = new Question(state, term.get(), number(needs), outcome);
        state.mQuestions.put(mLastNumber, question);
        question.start();
        state.watch();
        return question::withdraw;
    }

    /** Returns what is told of an attempt at an engine that this entry chose by itself. */
    public PlacedAttempt track(GroupId group, PlacementNeeds.Builder needs, UpstreamId engine) {
        Group state = group(group);
        Optional<Term> term = state.currentTerm();
        mLastNumber++;
        Attempt attempt = new Attempt(state, number(needs), mTime.nanoTime(), engine);
        state.mAttempts.put(mLastNumber, attempt);
        state.watch();
        term.ifPresent(current -> current.mOutbox.add(attempt.encode()));
        return attempt;
    }

    /** Restores what coordinators know that have changed. */
    public void onMembersChanged() {
        mGroups.values().stream().filter(Group::isActive).forEach(Group::currentTerm);
    }

    /** Returns the number of requests of this entry that wait for a decision. */
    public int waiting() {
        return mGroups.values().stream().mapToInt(group -> group.mQuestions.size()).sum();
    }

    private PlacementNeeds number(PlacementNeeds.Builder needs) {
        return needs.setNumber(mLastNumber).build();
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
        List<Question> givenUp =
                mGroups.values().stream()
                        .flatMap(group -> group.mQuestions.values().stream())
                        .filter(question -> question.mTerm.mCoordinator.equals(coordinator))
                        .toList();
        givenUp.forEach(Question::withdraw);
        givenUp.stream()
                .map(question -> question.mTerm.mOutbox)
                .distinct()
                .forEach(ReportOutbox::probe);
        givenUp.forEach(question -> question.fallBackForOwner("unresponsive"));
        onMembersChanged();
    }

    /** The time during which one entry coordinates a group. */
    private final class Term implements ReportOutbox.Listener {

        private final String mCoordinator;
        private final CoordinatorLink mLink;
        private final ReportOutbox mOutbox;

        Term(Group group, String coordinator) {
            mCoordinator = coordinator;
            mLink = coordinator.equals(mSelf.address()) ? mLocal : mPeers;
            PlacementReports envelope =
                    PlacementReports.newBuilder()
                            .setGroup(group.mId.value())
                            .setSender(mSelf.encode())
                            .build();
            mOutbox =
                    new ReportOutbox(
                            (reports, receiver) -> mLink.report(coordinator, reports, receiver),
                            envelope,
                            group::encodeAttempts,
                            this,
                            mScheduler,
                            mTime);
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
    private final class Group {

        private final GroupId mId;
        private final Map<Integer, Attempt> mAttempts = new HashMap<>();
        private final TreeMap<Integer, Question> mQuestions = new TreeMap<>();
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
                                    mQuestions.isEmpty() ? mLastNumber + 1 : mQuestions.firstKey());
            mAttempts.values().forEach(attempt -> restore.addHeld(attempt.encode()));
            return restore.build();
        }

        boolean isActive() {
            return !mAttempts.isEmpty() || !mQuestions.isEmpty();
        }

        /** Probes the coordinator as long as requests wait there or are at engines. */
        void watch() {
            if (mWatching || !isActive()) {
                return;
            }
            mWatching = true;
            mScheduler.schedule(PROBE_TIME, this::onWatchTimer);
        }

        private void onWatchTimer() {
            mWatching = false;
            List<Term> probed = new ArrayList<>();
            for (Question question : mQuestions.values()) {
                Term term = question.mTerm;
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
    private final class Question implements CoordinatorLink.Listener {

        private final Group mGroup;
        private final Term mTerm;
        private final PlacementNeeds mNeeds;
        private final PlacementOutcome mOutcome;
        private final CallbackGuard.Owner mOwner = mGuard.current();
        private final long mAskedAt = mTime.nanoTime();
        private Optional<CoordinatorLink.Call> mCall = Optional.empty();
        private boolean mEnded;

        Question(Group group, Term term, PlacementNeeds needs, PlacementOutcome outcome) {
            mGroup = group;
            mTerm = term;
            mNeeds = needs;
            mOutcome = outcome;
        }

        void start() {
            PlacementAsked asked =
                    PlacementAsked.newBuilder()
                            .setGroup(mGroup.mId.value())
                            .setSender(mSelf.encode())
                            .setNeeds(mNeeds)
                            .build();
            mCall = Optional.of(mTerm.mLink.ask(mTerm.mCoordinator, asked, this));
        }

        private boolean end() {
            boolean ends = !mEnded;
            mEnded = true;
            mGroup.mQuestions.remove(mNeeds.getNumber());
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

        private void fallBack(String reason) {
            mMetrics.onPlacement("fallback-" + reason, mTime.since(mAskedAt));
            logFallback(mNeeds.getRequestId(), mGroup.mId, mTerm.mCoordinator, reason);
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
            mMetrics.onPlacement(mTerm.isLocal() ? LOCAL : COORDINATOR, waited);
            UpstreamId engine = new UpstreamId(decision.getEngine());
            PlacementNeeds needs = PlacementCodec.later(mNeeds, waited);
            Attempt attempt = new Attempt(mGroup, needs, mTime.nanoTime(), engine);
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
                mOutcome.onRefused(reason.get(), Duration.ofNanos(decision.getRetryAfterNanos()));
            }
        }
    }

    /** A request at an engine. */
    private final class Attempt implements PlacedAttempt {

        private final Group mGroup;
        private final PlacementNeeds mNeeds;
        private final long mSentAt;
        private final UpstreamId mEngine;
        private boolean mFirstEventSeen;
        private boolean mEnded;

        Attempt(Group group, PlacementNeeds needs, long sentAt, UpstreamId engine) {
            mGroup = group;
            mNeeds = needs;
            mSentAt = sentAt;
            mEngine = engine;
        }

        PlacementHeld encode() {
            Duration age = mTime.since(mSentAt);
            return PlacementHeld.newBuilder()
                    .setNeeds(PlacementCodec.later(mNeeds, age))
                    .setEngine(mEngine.value())
                    .setAgeNanos(age.toNanos())
                    .setFirstEventSeen(mFirstEventSeen)
                    .build();
        }

        @Override
        public void onFirstEvent(Duration responseTime) {
            if (mEnded || mFirstEventSeen) {
                return;
            }
            mFirstEventSeen = true;
            report(
                    PlacementReport.newBuilder()
                            .setEvent(PlacementEvent.PLACEMENT_EVENT_FIRST_EVENT)
                            .setResponseTimeNanos(responseTime.toNanos()));
        }

        @Override
        public void onEnded() {
            end(PlacementEvent.PLACEMENT_EVENT_ENDED);
        }

        @Override
        public void onFailed(PlacementFailure failure) {
            end(
                    switch (failure) {
                        case REFUSED -> PlacementEvent.PLACEMENT_EVENT_REFUSED;
                        case FAILED -> PlacementEvent.PLACEMENT_EVENT_FAILED;
                        case BROKEN -> PlacementEvent.PLACEMENT_EVENT_BROKEN;
                    });
        }

        @Override
        public void onRejected() {
            mMetrics.onPlacementRejected();
            end(PlacementEvent.PLACEMENT_EVENT_REJECTED);
        }

        private void end(PlacementEvent event) {
            if (!mEnded) {
                mEnded = true;
                mGroup.mAttempts.remove(mNeeds.getNumber());
                report(PlacementReport.newBuilder().setEvent(event));
            }
        }

        private void report(PlacementReport.Builder report) {
            PlacementReport numbered = report.setNumber(mNeeds.getNumber()).build();
            mGroup.currentTerm().ifPresent(term -> term.mOutbox.add(numbered));
        }
    }
}
