package org.boragethread.core.rollout;

import io.vavr.control.Either;
import io.vavr.control.Try;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.follow.ReadFailure;
import org.boragethread.core.follow.StoreEra;
import org.boragethread.core.member.Member;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.SoftwareVersion;

/**
 * Decides the roll-outs of one group and records their states. Every entry has one for each group
 * with an order, and only that of the group's coordinator is ticked. Two that decide at once are
 * safe: each state is appended on condition that the partition still ends where the state before it
 * was read. Not thread-safe.
 */
public final class RolloutCoordinator {

    /** Recommended time between two calls of {@link #tick}, in milliseconds. */
    public static final long TICK_MILLIS = 250;

    /** Time between two reads of the state while nothing is to be recorded. */
    private static final Duration READ_INTERVAL = Duration.ofSeconds(1);

    /** Time without a tick after which this process was not the coordinator. */
    private static final Duration TICK_GAP = Duration.ofSeconds(2);

    /**
     * Time in which the reports of all entries arrive after a change of the coordinator or a
     * restart of the store: three periods.
     */
    private static final Duration REPORT_TIME = Duration.ofMillis(3 * EntryReport.PERIOD_MILLIS);

    private static final double ANNOUNCEMENT_SHARE = 0.1;

    private final GroupId mGroup;
    private final TimeSource mTime;
    private final RolloutBounds mBounds;
    private final RolloutLog mLog;
    private final RolloutEvents mEvents;
    private final SwitchBarrier mBarrier;
    private final AnnouncedVersions mVersions;
    private final SeenState mSeen = new SeenState();
    private final Set<String> mLogged = new HashSet<>();
    private Optional<RolloutRequest> mRequest = Optional.empty();
    private Optional<ClockReading> mRequestReadAt = Optional.empty();
    private Optional<RolloutState> mFollowed = Optional.empty();
    private Optional<RolloutOrder> mOrder = Optional.empty();
    private Optional<RolloutOrder> mRemoved = Optional.empty();
    private EvidenceTotals mTotals = new EvidenceTotals();
    private EvidenceReview mReview = new EvidenceReview();
    private Optional<Long> mTickedAt = Optional.empty();
    private Optional<Long> mReadAt = Optional.empty();
    private long mSettledSince;
    private long mStateSince;
    private StoreEra mEra = StoreEra.UNKNOWN;
    private Optional<Long> mEraSince = Optional.empty();
    private Optional<Long> mDoubtfulEnd = Optional.empty();
    private boolean mIsCalling;

    /** Creates a coordinator that knows nothing. */
    public RolloutCoordinator(
            GroupId group,
            TimeSource time,
            RolloutBounds bounds,
            RolloutLog log,
            RolloutEvents events) {
        mGroup = group;
        mTime = time;
        mBounds = bounds;
        mLog = log;
        mEvents = events;
        mBarrier = new SwitchBarrier(time, bounds.departureTime());
        mVersions = new AnnouncedVersions(time);
        mStateSince = time.nanoTime();
    }

    /**
     * Replaces the valid request of the operators for the group.
     *
     * @param sentAt time at which the read was sent that found all orders complete
     */
    public void setRequest(Optional<RolloutRequest> request, ClockReading sentAt) {
        mRequest = request;
        mRequestReadAt = Optional.of(sentAt);
        // Kept until the removal is recorded: the same request may be written again before.
        mFollowed
                .filter(state -> isReadSinceState())
                .filter(state -> request.filter(state.order().request()::equals).isEmpty())
                .ifPresent(state -> mRemoved = Optional.of(state.order()));
    }

    /** Returns whether the request was read later than the state was first seen. */
    private boolean isReadSinceState() {
        return mRequestReadAt.filter(at -> at.nanos() - mStateSince > 0).isPresent();
    }

    /** Replaces the versions that upstreams of the group announce now. */
    public void setVersions(Set<SoftwareVersion> versions) {
        mVersions.set(versions);
    }

    /** Replaces the live entries, this one included. */
    public void setMembers(Collection<Member> members) {
        mBarrier.setMembers(members);
    }

    /** Takes a report of an entry, also of this one. */
    public void onReport(EntryReport report) {
        onState(report.state());
        mBarrier.onReport(report);
        if (mOrder.filter(report.state().order()::equals).isPresent()) {
            mTotals.add(report);
        }
    }

    /** Takes a state that an entry has read. */
    public void onState(RolloutState state) {
        mSeen.add(state);
        mBarrier.onState(state);
        mSeen.newest().ifPresent(this::follow);
    }

    /** Turns to the order of a state. */
    private void follow(RolloutState state) {
        if (mFollowed.filter(state::equals).isEmpty()) {
            mFollowed = Optional.of(state);
            mStateSince = mTime.nanoTime();
        }
        if (mOrder.filter(state.order()::equals).isPresent()) {
            return;
        }
        mOrder = Optional.of(state.order());
        mTotals = new EvidenceTotals();
        mReview = new EvidenceReview();
        mLogged.clear();
        mVersions.setTarget(state.target());
        mBarrier.beginOrder(state.order());
    }

    /** Decides and records; to be called periodically at the coordinator of the group only. */
    public void tick() {
        long now = mTime.nanoTime();
        if (mTickedAt.filter(at -> now - at < TICK_GAP.toNanos()).isEmpty()) {
            mSettledSince = now;
            mReadAt = Optional.empty();
        }
        mTickedAt = Optional.of(now);
        review();
        boolean isReadDue = mReadAt.filter(at -> now - at < READ_INTERVAL.toNanos()).isEmpty();
        if (mIsCalling || !isReadDue && proposal(mSeen.newest()).isEmpty()) {
            return;
        }
        mIsCalling = true;
        mReadAt = Optional.of(now);
        Try.run(() -> mLog.read(mGroup, this::onReadResult))
                .onFailure(
                        failure -> {
                            // A call that was never sent has no callback.
                            mIsCalling = false;
                            mEvents.onLogFailure("state of roll-out not read: " + failure);
                        });
    }

    private void onReadResult(Either<ReadFailure, RolloutRead> result) {
        mIsCalling = false;
        result.peek(this::onRead)
                .peekLeft(
                        failure -> mEvents.onLogFailure("state of roll-out not read: " + failure));
    }

    private void review() {
        if (mOrder.isPresent()) {
            mReview.update(mTotals.sum(), mTime.millis(), elapsedShare());
        }
    }

    private double elapsedShare() {
        return mOrder.get().elapsedShare(mTime.millis());
    }

    private void onRead(RolloutRead read) {
        if (read.era().differsFrom(mEra)) {
            mEraSince = Optional.of(mTime.nanoTime());
        }
        mEra = read.era().orIfUnknown(mEra);
        if (mDoubtfulEnd.filter(end -> end == read.end()).isEmpty()) {
            mDoubtfulEnd = Optional.empty();
        }
        // Until all entries had time to report, one of them may have seen a newer state.
        if (isRestored()) {
            read.state().ifPresent(this::onState);
            return;
        }
        Optional<RolloutState> lost = mSeen.lost(read.state(), mRequest);
        if (lost.isPresent()) {
            record(new OrderDecision.Proposal(lost.get(), "lost by the store"), read.end());
            return;
        }
        if (!read.state().equals(mSeen.newest())) {
            mSeen.replace(read.state());
            read.state().ifPresent(this::onState);
        }
        Optional<OrderDecision.Proposal> proposal =
                proposal(read.state()).or(() -> fence(read.state()));
        proposal.ifPresent(next -> record(next, read.end()));
    }

    /**
     * Returns the same phase under another revision if an append of unknown result could still take
     * effect, although it is no longer what is decided.
     */
    private Optional<OrderDecision.Proposal> fence(Optional<RolloutState> recorded) {
        return recorded.filter(state -> mDoubtfulEnd.isPresent())
                .map(
                        state ->
                                new OrderDecision.Proposal(
                                        state.next(state.phase()),
                                        "supersedes an append of unknown result"));
    }

    private boolean isRestored() {
        return mEraSince.filter(at -> mTime.since(at).compareTo(REPORT_TIME) < 0).isPresent();
    }

    private Optional<OrderDecision.Proposal> proposal(Optional<RolloutState> recorded) {
        Optional<RolloutState> running = recorded.filter(state -> !state.phase().isEnded());
        if (!isSettledFor(REPORT_TIME)) {
            // A bad version is not kept in use while the reports are still incomplete.
            return running.filter(state -> !mVersions.isOnlyTarget())
                    .flatMap(state -> PhaseDecision.rollBack(mReview).map(by(state)));
        }
        // A request that was read before the state may be older than the state.
        if (isReadSinceState()) {
            // The same request is a new order after a removal, which is recorded first.
            Optional<RolloutRequest> request =
                    mRequest.filter(
                            wanted ->
                                    recorded.filter(state -> state.isOf(wanted))
                                            .map(RolloutState::order)
                                            .filter(order -> mRemoved.equals(Optional.of(order)))
                                            .isEmpty());
            Optional<OrderDecision.Proposal> proposal =
                    OrderDecision.next(recorded, request, mTime.millis());
            if (proposal.isPresent()) {
                return proposal;
            }
        }
        return running.flatMap(this::phaseProposal);
    }

    private Optional<OrderDecision.Proposal> phaseProposal(RolloutState state) {
        PhaseDecision.Situation situation =
                new PhaseDecision.Situation(
                        elapsedShare(),
                        mVersions.hasSeenTarget(),
                        mVersions.targetAbsence(),
                        mVersions.otherAbsence().compareTo(mBounds.departureTime()) > 0,
                        mVersions.isOnlyTarget(),
                        mBarrier.haveAllReported(state) || isSettledFor(TICK_GAP),
                        mBarrier.isClear(state));
        reportHindrances(state, situation);
        return PhaseDecision.next(state, mReview, situation).map(by(state));
    }

    private static Function<PhaseDecision.Step, OrderDecision.Proposal> by(RolloutState state) {
        return step -> new OrderDecision.Proposal(state.next(step.phase()), step.reason());
    }

    private void reportHindrances(RolloutState state, PhaseDecision.Situation situation) {
        if (!situation.targetEverAnnounced() && situation.elapsedShare() >= ANNOUNCEMENT_SHARE) {
            hinder(
                    state,
                    "no upstream of %s announces version %s: start some, or correct the order"
                            .formatted(mGroup, state.target()));
        }
        if (state.phase() == RolloutPhase.SWITCHING && situation.elapsedShare() >= 1) {
            hinder(
                    state,
                    "requests of %s are in flight at the old version past the period: wait"
                            .formatted(mGroup));
        }
    }

    private void hinder(RolloutState state, String message) {
        if (mLogged.add(message)) {
            mEvents.onBlocked(state.order(), message);
        }
    }

    private void record(OrderDecision.Proposal proposal, long end) {
        mIsCalling = true;
        // Reports on a lost state must not pass for reports on the one that is recorded again.
        RolloutState state = proposal.state().above(mSeen.highestRevision());
        Try.run(
                        () ->
                                mLog.append(
                                        state,
                                        end,
                                        result ->
                                                onAppended(state, proposal.reason(), end, result)))
                .onFailure(
                        failure -> {
                            mEvents.onLogFailure("append of a roll-out failed: " + failure);
                            onAppended(
                                    state, proposal.reason(), end, RolloutLog.AppendResult.UNKNOWN);
                        });
    }

    private void onAppended(
            RolloutState state, String reason, long end, RolloutLog.AppendResult result) {
        mIsCalling = false;
        // Whatever the result, the state is read before the next decision.
        mReadAt = Optional.empty();
        if (result == RolloutLog.AppendResult.UNKNOWN) {
            mDoubtfulEnd = Optional.of(end);
        }
        if (result == RolloutLog.AppendResult.APPENDED) {
            onState(state);
            mEvents.onRecorded(state, reason);
        } else {
            mEvents.onLogFailure(
                    "%s of roll-out of %s not recorded: %s; the state is read again"
                            .formatted(state.phase(), mGroup, result));
        }
    }

    private boolean isSettledFor(Duration time) {
        return mTime.since(mSettledSince).compareTo(time) >= 0;
    }

    /** Returns the evidence of all reports on the latest order, for metrics. */
    public RolloutEvidence evidence() {
        return mTotals.sum();
    }

    /** Returns the latest verdicts, overall first, for metrics. */
    public List<Verdict> verdicts() {
        return mReview.verdicts();
    }
}
