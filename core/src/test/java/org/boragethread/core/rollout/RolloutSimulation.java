package org.boragethread.core.rollout;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.follow.ReadFailure;
import org.boragethread.core.member.Member;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.UpstreamAnnouncement;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.model.upstream.UpstreamId;

/**
 * Entries that carry out one order while they are killed, restarted, suspended and cut off. They
 * use the target version whenever they may, also for retries, so that the bounds are tight.
 */
final class RolloutSimulation {

    static final GroupId GROUP = new GroupId("chat");
    static final SoftwareVersion OLD = new SoftwareVersion("1");
    static final SoftwareVersion TARGET = new SoftwareVersion("2");
    static final Duration PERIOD = Duration.ofSeconds(40);

    private static final int STEP_MILLIS = 100;
    private static final int TICK_MILLIS = 200;
    private static final int OLD_UPSTREAMS = 20;
    private static final int COORDINATORS = 2;
    private static final long MEMBER_MILLIS = 5000;
    private static final int MAX_CALL_MILLIS = 2000;
    private static final RolloutBounds BOUNDS =
            new RolloutBounds(
                    0.1, Duration.ofSeconds(5), Duration.ofMillis(MEMBER_MILLIS + MAX_CALL_MILLIS));
    private static final RolloutRequest REQUEST = new RolloutRequest(GROUP, TARGET, PERIOD);

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final SplittableRandom mRandom;
    private final SimulatedLog mLog;
    private final List<Entry> mEntries = new ArrayList<>();
    private final List<UpstreamAnnouncement> mUpstreams = new ArrayList<>();
    private List<Entry> mMembers = List.of();
    private final int mFaultRate;
    private final double mTargetBadShare;
    private final int mRequestsPerStep;
    private final Map<RolloutOrder, Set<RolloutPhase>> mOutcomes = new HashMap<>();
    private boolean mIsFaulty = true;
    private long mFirstAttempts;
    private long mAttemptsBeforeOrder;
    private long mTrials;
    private double mTrialsOverShare = Double.NEGATIVE_INFINITY;
    private boolean mIsOrdered;
    private long mOldInFlightAtEnd;

    /**
     * Creates entries before an order.
     *
     * @param faultRate a fault happens at each entry once in so many steps on average; 0 for none
     */
    RolloutSimulation(int entries, int requestsPerStep, double badShare, int faultRate, long seed) {
        mRandom = new SplittableRandom(seed);
        mLog = new SimulatedLog(mTime, mRandom.split());
        mRequestsPerStep = requestsPerStep;
        mTargetBadShare = badShare;
        mFaultRate = faultRate;
        for (int i = 0; i < OLD_UPSTREAMS; i++) {
            mUpstreams.add(upstream("old-" + i, OLD));
        }
        for (int i = 0; i < entries; i++) {
            mEntries.add(new Entry("entry-" + i));
        }
        run(Duration.ofSeconds(2));
        for (int i = 0; i < OLD_UPSTREAMS; i++) {
            mUpstreams.add(upstream("new-" + i, TARGET));
        }
        mIsOrdered = true;
    }

    void removeOrder() {
        mIsOrdered = false;
    }

    private static UpstreamAnnouncement upstream(String id, SoftwareVersion version) {
        return new UpstreamAnnouncement(
                new UpstreamId(id),
                GROUP,
                "127.0.0.1",
                1,
                new DataCentreId("a"),
                false,
                0,
                Optional.empty(),
                Optional.of(version));
    }

    /** Runs until the outcome must be known: faults first, then time to end the order. */
    void runOrder() {
        run(PERIOD);
        mIsFaulty = false;
        run(Duration.ofSeconds(40));
    }

    void restoreStore() {
        mLog.restore();
    }

    void run(Duration time) {
        for (long i = 0; i < time.toMillis() / STEP_MILLIS; i++) {
            mTime.advance(Duration.ofMillis(STEP_MILLIS));
            mLog.runLateAppends();
            if (happens(20)) {
                mLog.appendOther();
            }
            Optional<RolloutPhase> before = mLog.state().map(RolloutState::phase);
            mMembers = mEntries.stream().filter(Entry::isMember).toList();
            mEntries.forEach(Entry::step);
            for (int request = 0; request < mRequestsPerStep; request++) {
                mEntries.get(mRandom.nextInt(mEntries.size())).send();
            }
            noteOutcome(before);
            if (before.isEmpty()) {
                mAttemptsBeforeOrder = mFirstAttempts;
            }
            double share = BOUNDS.entryShare() * (mFirstAttempts - mAttemptsBeforeOrder);
            mTrialsOverShare = Math.max(mTrialsOverShare, mTrials - share);
        }
    }

    private void noteOutcome(Optional<RolloutPhase> before) {
        Optional<RolloutPhase> after = mLog.state().map(RolloutState::phase);
        if (after.equals(Optional.of(RolloutPhase.COMPLETED)) && !after.equals(before)) {
            mOldInFlightAtEnd += mEntries.stream().mapToLong(Entry::oldInFlight).sum();
        }
    }

    private boolean happens(int steps) {
        return steps > 0 && mRandom.nextInt(steps) == 0;
    }

    /** Returns by how many sends the target version was over its share of the attempts at most. */
    double trialsOverShare() {
        return mTrialsOverShare;
    }

    int reversals() {
        return mLog.reversals();
    }

    long oldInFlightAtEnd() {
        return mOldInFlightAtEnd;
    }

    /** Returns the phases in which entries have seen each order end. */
    Map<RolloutOrder, Set<RolloutPhase>> outcomes() {
        return mOutcomes;
    }

    Optional<RolloutPhase> recordedPhase() {
        return mLog.state().map(RolloutState::phase);
    }

    private final class Entry {
        private final String mAddress;
        private final boolean mIsCandidate = mEntries.size() < 8;
        private final int mOffset = mRandom.nextInt(5);
        private final List<Long> mOldCallEnds = new ArrayList<>();
        private RolloutTable mTable;
        private RolloutCoordinator mCoordinator;
        private ResponseCounter mCounter;
        private long mStartedAt;
        private long mRenewedAt;
        private long mCutUntil;
        private long mSuspendedUntil;
        private long mSequence;
        private Optional<RolloutOrder> mOrder;

        private Entry(String address) {
            mAddress = address;
            start();
        }

        private void start() {
            mStartedAt = mTime.millis();
            mRenewedAt = mStartedAt;
            mOldCallEnds.clear();
            mOrder = Optional.empty();
            mTable = new RolloutTable(mTime, BOUNDS);
            mCoordinator = new RolloutCoordinator(GROUP, mTime, BOUNDS, log(), RolloutEvents.NONE);
        }

        private RolloutLog log() {
            return new RolloutLog() {
                @Override
                public void read(
                        GroupId group, Consumer<Either<ReadFailure, RolloutRead>> callback) {
                    mLog.read(isCut(), callback);
                }

                @Override
                public void append(RolloutState state, long end, Consumer<AppendResult> callback) {
                    boolean isFaulty = mIsFaulty && mFaultRate > 0;
                    mLog.append(state, end, isCut(), isFaulty, callback);
                }
            };
        }

        private boolean isCut() {
            return mTime.millis() < mCutUntil;
        }

        private boolean isSuspended() {
            return mTime.millis() < mSuspendedUntil;
        }

        private boolean isMember() {
            return mTime.millis() - mRenewedAt < MEMBER_MILLIS;
        }

        private Member member() {
            return new Member(mAddress, mStartedAt, 100, new DataCentreId("a"));
        }

        private long oldInFlight() {
            mOldCallEnds.removeIf(end -> end <= mTime.millis());
            return mOldCallEnds.size();
        }

        private void step() {
            if (mIsFaulty) {
                fail();
            }
            if (isSuspended()) {
                return;
            }
            boolean isTurn = (mTime.millis() / STEP_MILLIS + mOffset) % 5 == 0;
            if (isTurn && !isCut()) {
                readStore();
            }
            List<Entry> coordinators = mMembers.subList(0, Math.min(COORDINATORS, mMembers.size()));
            if (isTurn) {
                report(coordinators);
            }
            if (mTime.millis() % TICK_MILLIS == 0 && coordinators.contains(this)) {
                mCoordinator.tick();
            }
        }

        private void fail() {
            if (happens(mFaultRate)) {
                start();
            }
            if (happens(mFaultRate)) {
                mSuspendedUntil = mTime.millis() + mRandom.nextInt(12_000);
            }
            if (happens(mFaultRate)) {
                mCutUntil = mTime.millis() + mRandom.nextInt(12_000);
            }
        }

        private void readStore() {
            ClockReading now = ClockReading.now(mTime);
            mTable.setUpstreams(GROUP, mUpstreams);
            mTable.setRequests(mIsOrdered ? Map.of(GROUP, REQUEST) : Map.of());
            mTable.onOrdersRead(now);
            Optional<RolloutState> state = mLog.state();
            state.ifPresent(this::onState);
            mTable.onStatusRead(now);
            mCoordinator.setRequest(mIsOrdered ? Optional.of(REQUEST) : Optional.empty(), now);
            mCoordinator.setVersions(
                    mUpstreams.size() > OLD_UPSTREAMS ? Set.of(OLD, TARGET) : Set.of(OLD));
            mCoordinator.setMembers(
                    mIsCandidate ? mMembers.stream().map(Entry::member).toList() : Set.of());
            mRenewedAt = mTime.millis();
        }

        private void onState(RolloutState state) {
            mTable.setState(state);
            mCoordinator.onState(state);
            if (state.phase().isEnded()) {
                mOutcomes.computeIfAbsent(state.order(), key -> new HashSet<>()).add(state.phase());
            }
            if (!mOrder.equals(Optional.of(state.order()))) {
                mOrder = Optional.of(state.order());
                mCounter = new ResponseCounter(mTime);
            }
        }

        private void report(List<Entry> coordinators) {
            Optional<RolloutState> state = mTable.state(GROUP);
            if (state.isEmpty()) {
                return;
            }
            EntryReport report =
                    new EntryReport(
                            mAddress,
                            mStartedAt,
                            mSequence++,
                            state.get(),
                            oldInFlight(),
                            mCounter.evidence());
            for (Entry coordinator : coordinators) {
                boolean isReached = !isCut() && !coordinator.isCut() && !coordinator.isSuspended();
                if (coordinator == this || isReached) {
                    coordinator.mCoordinator.onReport(report);
                }
            }
        }

        private void send() {
            // An entry refuses all requests once its configuration is as old as its membership.
            if (!isSuspended() && isMember() && sendAs(SendKind.FIRST)) {
                // A retry, which the target version must not get beyond the budget.
                sendAs(SendKind.FURTHER);
            }
        }

        /** Sends to the target version if the table lets it, and returns whether that failed. */
        private boolean sendAs(SendKind kind) {
            String route = "route-" + mRandom.nextInt(3);
            for (int i = mUpstreams.size() - 1; i >= 0; i--) {
                UpstreamAnnouncement upstream = mUpstreams.get(i);
                if (mTable.trySend(GROUP, route, kind, upstream.id(), upstream.softwareVersion())) {
                    if (kind == SendKind.FIRST) {
                        mFirstAttempts++;
                    }
                    return complete(route, upstream);
                }
            }
            return false;
        }

        private boolean complete(String route, UpstreamAnnouncement upstream) {
            boolean isTarget = upstream.softwareVersion().equals(Optional.of(TARGET));
            if (!isTarget) {
                mOldCallEnds.add(mTime.millis() + mRandom.nextInt(MAX_CALL_MILLIS));
            } else if (mTable.state(GROUP).filter(s -> s.phase() == RolloutPhase.TRIAL).isPresent()
                    || mTable.state(GROUP).isEmpty()) {
                mTrials++;
            }
            Optional<VersionSide> side = mTable.side(GROUP, upstream.softwareVersion());
            boolean isBad = mRandom.nextDouble() < (isTarget ? mTargetBadShare : 0);
            if (side.isPresent() && isBad) {
                mCounter.onFailure(route, side.get(), upstream.id());
            } else if (side.isPresent()) {
                mCounter.onResponse(route, side.get(), OptionalDouble.of(0.8));
            }
            return isBad;
        }
    }
}
