package org.boragethread.entry.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.boragethread.core.callback.CallbackGuard;
import org.boragethread.core.callback.Supervisor;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.follow.CompactedTopic;
import org.boragethread.core.follow.ReadFailure;
import org.boragethread.core.follow.ReadTiming;
import org.boragethread.core.follow.RecordPage;
import org.boragethread.core.follow.SnapshotPart;
import org.boragethread.core.follow.StoreEra;
import org.boragethread.core.follow.TopicFollower;
import org.boragethread.core.follow.TopicListener;
import org.boragethread.core.follow.TopicRelay;
import org.boragethread.core.member.Member;
import org.boragethread.core.rollout.EntryReport;
import org.boragethread.core.rollout.RolloutBounds;
import org.boragethread.core.rollout.RolloutEvidence;
import org.boragethread.core.rollout.RolloutLog;
import org.boragethread.core.rollout.RolloutOrder;
import org.boragethread.core.rollout.RolloutPhase;
import org.boragethread.core.rollout.RolloutRead;
import org.boragethread.core.rollout.RolloutRequest;
import org.boragethread.core.rollout.RolloutState;
import org.boragethread.core.rollout.SendKind;
import org.boragethread.core.stage.CoordinatorTable;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.upstream.UpstreamDirectory;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.process.log.EventLog;
import org.boragethread.wire.proto.RolloutReport;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how this process takes part in roll-outs. */
public class RolloutsTest implements RolloutPeers, RolloutLog, CompactedTopic {

    private static final GroupId GROUP = new GroupId("chat");
    private static final RolloutRequest REQUEST =
            new RolloutRequest(GROUP, new SoftwareVersion("v2"), Duration.ofSeconds(60));
    private static final DataCentreId NORTH = new DataCentreId("north");
    private static final Duration LEASE_TIME = Duration.ofSeconds(4);
    private static final ReadTiming TIMING =
            new ReadTiming(Duration.ofMillis(700), Duration.ZERO, Duration.ofMillis(100));

    private ManualTimeSource mTime;
    private Optional<Duration> mDepartureTime;
    private CoordinatorTable mCoordinators;
    private Rollouts mRollouts;
    private TopicListener mStates;
    private List<GroupId> mReads;
    private List<Runnable> mLostReports;
    private List<RolloutPhase> mReported;
    private List<Throwable> mFailures;
    private int mSnapshots;
    private Optional<RuntimeException> mSendFailure;
    private Optional<RolloutState> mRecorded;

    @BeforeMethod
    public void start() {
        mTime = new ManualTimeSource();
        mDepartureTime = Optional.of(Duration.ofSeconds(10));
        mCoordinators = new CoordinatorTable(mTime, NORTH);
        mReads = new ArrayList<>();
        mLostReports = new ArrayList<>();
        mReported = new ArrayList<>();
        mFailures = new ArrayList<>();
        mSendFailure = Optional.empty();
        mRecorded = Optional.empty();
        RolloutBounds bounds = new RolloutBounds(0.1, Duration.ofSeconds(5), Duration.ZERO);
        mRollouts = new Rollouts(context(), Optional.of(bounds), LEASE_TIME);
        mRollouts.start(member("self", 2), this, this::follow);
    }

    private RolloutContext context() {
        EventLog log = new EventLog(LogManager.getLogger(RolloutsTest.class), mTime);
        return new RolloutContext(
                mTime,
                mTime,
                new Supervisor(new CallbackGuard(RolloutsTest::fail), mFailures::add),
                log,
                new SimpleMeterRegistry(),
                new UpstreamDirectory(mTime),
                mCoordinators,
                this,
                group -> !group.value().equals("unknown"),
                () -> mDepartureTime);
    }

    private static Member member(String address, long startedAt) {
        return new Member(address, startedAt, 1000, NORTH);
    }

    private TopicFollower follow(TopicListener listener, Duration pollTime) {
        mStates = listener;
        return new TopicFollower(
                this,
                mTime,
                mTime,
                TIMING,
                listener,
                new TopicRelay(mTime, (key, previous, value) -> false),
                new Supervisor(new CallbackGuard(RolloutsTest::fail), RolloutsTest::fail));
    }

    private static void fail(Throwable cause) {
        throw new AssertionError("a callback threw", cause);
    }

    @Override
    public void readSnapshotPart(
            Optional<String> after, Consumer<Either<ReadFailure, SnapshotPart>> callback) {
        mSnapshots++;
    }

    @Override
    public void read(
            long offset, Duration wait, Consumer<Either<ReadFailure, RecordPage>> callback) {}

    @Override
    public void read(GroupId group, Consumer<Either<ReadFailure, RolloutRead>> callback) {
        mReads.add(group);
        if (mRecorded.isPresent()) {
            callback.accept(Either.right(new RolloutRead(mRecorded, 1, StoreEra.UNKNOWN)));
        }
    }

    @Override
    public void append(RolloutState state, long end, Consumer<AppendResult> callback) {
        mRecorded = Optional.of(state);
        callback.accept(AppendResult.APPENDED);
    }

    @Override
    public void send(String peer, EntryReport report, Runnable onFailure) {
        mReported.add(report.state().phase());
        mSendFailure.ifPresent(
                failure -> {
                    throw failure;
                });
        mLostReports.add(onFailure);
    }

    @Override
    public void probe(String peer, Runnable onFailure) {
        mLostReports.add(onFailure);
    }

    private void order() {
        mRollouts.onRequests(Map.of(GROUP, REQUEST));
        mRollouts.onOrdersRead(ClockReading.now(mTime));
    }

    // Guards against a coordinator that takes the configuration lease alone, without the longest
    // timeout of a route, as the time for which an entry that ended may have requests in flight.
    @Test
    public void nothingIsDecidedBeforeTheConfigurationIsKnown() {
        mDepartureTime = Optional.empty();
        order();
        mRollouts.tick();
        assertEquals(mReads, List.of());
        mDepartureTime = Optional.of(Duration.ofSeconds(10));
        mRollouts.tick();
        assertEquals(mReads, List.of(GROUP));
    }

    // Guards against an entry that starts after a roll-back and uses the rejected version, because
    // the order was removed.
    @Test
    public void entryIsReadyOnlyWhenTheStatesAreKnown() {
        mRollouts.onOrdersRead(ClockReading.now(mTime));
        assertFalse(mRollouts.isReady());
        mRollouts.onStatusRead(ClockReading.now(mTime));
        assertTrue(mRollouts.isReady());
    }

    // Guards against a roll-out that runs for ever, because the append that began it was executed
    // after its order was removed and no entry read the states any more.
    @Test
    public void statesAreFollowedForAWhileAfterAnOrderIsRemoved() {
        order();
        mRollouts.onStatusRead(ClockReading.now(mTime));
        mRollouts.onRequests(Map.of());
        mTime.advance(Duration.ofSeconds(5));
        mRollouts.onStatusRead(ClockReading.now(mTime));
        TopicListener before = mStates;
        order();
        assertEquals(mStates, before, "the states were not followed any more");
        mRollouts.onRequests(Map.of());
        mTime.advance(Duration.ofSeconds(11));
        mRollouts.onStatusRead(ClockReading.now(mTime));
        order();
        assertFalse(mStates.equals(before), "the states were followed for ever");
    }

    // Guards against an order that is ignored, because the same one had ended before and its
    // removal
    // was never recorded.
    @Test
    public void orderThatIsRemovedAfterItsEndIsWithdrawn() {
        order();
        RolloutState ended = state(RolloutPhase.COMPLETED);
        mRecorded = Optional.of(ended);
        mRollouts.onState(ended);
        mRollouts.onStatusRead(ClockReading.now(mTime));
        mRollouts.onRequests(Map.of());
        for (int i = 0; i < 20; i++) {
            mTime.advance(Duration.ofMillis(250));
            mRollouts.onOrdersRead(ClockReading.now(mTime));
            mRollouts.tick();
        }
        assertTrue(mRecorded.get().withdrawn());
        assertEquals(mRecorded.get().phase(), RolloutPhase.COMPLETED);
        int reads = mReads.size();
        mRollouts.tick();
        assertEquals(mReads.size(), reads, "the state is read for ever");
    }

    // Guards against another outcome, decided by a coordinator that knows the older copy only.
    @Test
    public void endIsReportedUntilARestoredStoreHasIt() {
        mRollouts.setMembers(List.of(member("self", 2), member("other", 1)));
        order();
        RolloutState ended = state(RolloutPhase.COMPLETED);
        mRollouts.onState(ended);
        mRollouts.onStatusRead(ClockReading.now(mTime));
        mReported.clear();
        mRollouts.reportAll();
        assertEquals(mReported, List.of());
        mRollouts.onRequests(Map.of());
        mRollouts.onOrdersRestored();
        mRollouts.onState(new RolloutState(ended.order(), RolloutPhase.TRIAL, 1, false, List.of()));
        mRollouts.reportAll();
        assertEquals(mReported, List.of(RolloutPhase.COMPLETED));
        mRollouts.onState(ended);
        mRollouts.reportAll();
        assertEquals(mReported.size(), 1, "reported for ever");
    }

    // Guards against an end that is lost for ever, because the coordinator started after the store
    // was restored, and reports on it that never stop.
    @Test
    public void endThatOnlyOthersKnowIsRecordedAgain() {
        RolloutRequest earlier =
                new RolloutRequest(GROUP, new SoftwareVersion("v1"), REQUEST.period());
        RolloutState older =
                new RolloutState(
                        new RolloutOrder(earlier, 0), RolloutPhase.COMPLETED, 1, true, List.of());
        RolloutState ended = state(RolloutPhase.ROLLED_BACK);
        mRecorded = Optional.of(older);
        mRollouts.onState(older);
        mRollouts.onStatusRead(ClockReading.now(mTime));
        for (int i = 0; i < 20; i++) {
            mTime.advance(Duration.ofMillis(250));
            mRollouts.onOrdersRead(ClockReading.now(mTime));
            mRollouts.onReport(new EntryReport("a", 1, i, ended, 0, RolloutEvidence.NONE));
            mRollouts.tick();
        }
        assertEquals(mRecorded.get().order(), ended.order());
        assertEquals(mRecorded.get().phase(), RolloutPhase.ROLLED_BACK);
        mTime.advance(Duration.ofSeconds(3));
        int reads = mReads.size();
        mRollouts.tick();
        assertEquals(mReads.size(), reads, "the state is read for ever");
    }

    // Guards against a roll-out that nobody decides on, because the entry that should do so has no
    // roll-outs in its settings but confirms the reports of the others.
    @Test
    public void entryWithoutRollOutsIsUnableToTakeReports() {
        Rollouts none = new Rollouts(context(), Optional.empty(), LEASE_TIME);
        none.start(member("self", 2), this, this::follow);
        RolloutReport probe = RolloutReport.getDefaultInstance();
        RolloutReport report =
                RolloutReportCodec.encode(
                        new EntryReport(
                                "a", 1, 1, state(RolloutPhase.TRIAL), 0, RolloutEvidence.NONE));
        for (RolloutReport message : List.of(probe, report)) {
            assertEquals(
                    new RolloutReportReceiver(none).receive(message),
                    RolloutReportReceiver.Answer.UNABLE);
            assertEquals(
                    new RolloutReportReceiver(mRollouts).receive(message),
                    RolloutReportReceiver.Answer.TAKEN);
        }
    }

    // Guards against 1,200 entries whose reads of the states reach the store at the same moment.
    @Test
    public void entriesReadTheStatesAtDifferentTimes() {
        RolloutBounds bounds = new RolloutBounds(0.1, Duration.ofSeconds(5), Duration.ZERO);
        Map<Long, Integer> starts = new HashMap<>();
        Set<Duration> polls = new HashSet<>();
        for (int i = 0; i < 1200; i++) {
            StatusReads reads = StatusReads.of("10.0.0.%d:%d".formatted(i % 250, 7000 + i), bounds);
            assertTrue(reads.startDelay().compareTo(bounds.statusPollTime()) <= 0);
            assertTrue(reads.pollTime().compareTo(bounds.statusPollTime()) <= 0);
            assertTrue(reads.pollTime().multipliedBy(4).compareTo(Duration.ofSeconds(2)) > 0);
            starts.merge(reads.startDelay().toMillis() / 70, 1, Integer::sum);
            polls.add(reads.pollTime());
        }
        assertTrue(starts.values().stream().allMatch(count -> count < 180), "starts: " + starts);
        assertTrue(polls.size() > 1000, "long-poll times: " + polls.size());
    }

    // Guards against entries that all begin to read when an order arrives.
    @Test
    public void firstReadAfterAnOrderIsDelayed() {
        mRollouts.onStatusRead(ClockReading.now(mTime));
        mRollouts.onOrdersRead(ClockReading.now(mTime));
        int before = mSnapshots;
        order();
        mTime.advance(Duration.ofMillis(1));
        assertEquals(mSnapshots, before);
        mTime.advance(Duration.ofMillis(700));
        assertEquals(mSnapshots, before + 1);
    }

    // Guards against entries that all begin to read when the store is in reach again.
    @Test
    public void firstReadAfterAnOutageOfTheStoreIsDelayed() {
        int atStart = mSnapshots;
        mTime.advance(Duration.ofMillis(1));
        assertEquals(mSnapshots, atStart + 1, "the first read of the process is delayed");
        mRollouts.onStatusRead(ClockReading.now(mTime));
        mTime.advance(LEASE_TIME.plusSeconds(1));
        int before = mSnapshots;
        mRollouts.onOrdersRead(ClockReading.now(mTime));
        mTime.advance(Duration.ofMillis(1));
        assertEquals(mSnapshots, before);
        mTime.advance(Duration.ofMillis(700));
        assertEquals(mSnapshots, before + 1);
    }

    // Guards against a group whose report can't be sent and that keeps those of others back.
    @Test
    public void groupThatThrowsDoesNotStopOthers() {
        mRollouts.setMembers(List.of(member("self", 2), member("other", 1)));
        mRollouts.onState(state("chat", RolloutPhase.SWITCHING));
        mRollouts.onState(state("draw", RolloutPhase.SWITCHING));
        mReported.clear();
        mSendFailure = Optional.of(new IllegalStateException("closed"));
        mRollouts.reportAll();
        assertEquals(mReported.size(), 2);
        assertEquals(mFailures, List.of(mSendFailure.get(), mSendFailure.get()));
    }

    // Guards against groups, and their metrics, that a report of another deployment creates.
    @Test
    public void reportOnAnUnknownGroupIsNotTaken() {
        RolloutState state = state("unknown", RolloutPhase.TRIAL);
        EntryReport report = new EntryReport("a", 1, 1, state, 0, RolloutEvidence.NONE);
        assertEquals(
                new RolloutReportReceiver(mRollouts).receive(RolloutReportCodec.encode(report)),
                RolloutReportReceiver.Answer.UNABLE);
    }

    private static RolloutState state(RolloutPhase phase) {
        return state(GROUP.value(), phase);
    }

    private static RolloutState state(String group, RolloutPhase phase) {
        RolloutRequest request =
                new RolloutRequest(new GroupId(group), REQUEST.target(), REQUEST.period());
        return new RolloutState(new RolloutOrder(request, 1), phase, 5, false, List.of());
    }

    // Guards against an entry that was cut off from the store, learns of an order and sends to the
    // old version as if the order had not been carried out meanwhile.
    @Test
    public void statesAreUnknownAfterTheStoreWasOutOfReach() {
        mRollouts.onStatusRead(ClockReading.now(mTime));
        for (int i = 0; i < 10; i++) {
            mTime.advance(Duration.ofSeconds(1));
            mRollouts.onOrdersRead(ClockReading.now(mTime));
        }
        order();
        assertFalse(isRefused(), "the states were confirmed before the order came");
        mTime.advance(LEASE_TIME);
        assertTrue(isRefused(), "the states were never read since the order came");
        mRollouts.onStatusRead(ClockReading.now(mTime));
        assertFalse(isRefused(), "the states were read");
        mRollouts.onState(state(RolloutPhase.COMPLETED));
        mTime.advance(LEASE_TIME);
        assertFalse(isRefused(), "an outcome is never reversed");
        RolloutRequest next =
                new RolloutRequest(GROUP, new SoftwareVersion("v3"), Duration.ofSeconds(60));
        mRollouts.onRequests(Map.of(GROUP, next));
        assertTrue(isRefused(), "the state of the next order is unknown");
    }

    private boolean isRefused() {
        return mRollouts.rule(GROUP, "route", SendKind.FIRST).isRefused();
    }

    // Guards against an entry that never learns of a roll-back of which it missed order and
    // removal.
    @Test
    public void statesAreReadAgainAfterTheOrdersWereOutOfReach() {
        mRollouts.onOrdersRead(ClockReading.now(mTime));
        mRollouts.onStatusRead(ClockReading.now(mTime));
        TopicListener before = mStates;
        mTime.advance(LEASE_TIME);
        mRollouts.onOrdersRead(ClockReading.now(mTime));
        assertFalse(mRollouts.isReady());
        assertFalse(mStates.equals(before), "the states are not read again");
    }

    // Guards against a table of the coordinators of roll-outs that never learns of other entries,
    // or
    // that goes on with one that does not respond.
    @Test
    public void coordinatorThatDoesNotRespondIsAvoided() {
        mRollouts.setMembers(List.of(member("self", 2), member("other", 1)));
        order();
        mRollouts.reportAll();
        assertEquals(mCoordinators.coordinator(GROUP), Optional.of("other"));
        mLostReports.forEach(Runnable::run);
        assertEquals(mCoordinators.coordinator(GROUP), Optional.of("self"));
    }
}
