package org.boragethread.core.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.UpstreamAnnouncement;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.model.upstream.UpstreamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which versions an entry uses while upstreams come and go. */
public class RolloutTableTest {

    private static final RolloutRequest REQUEST =
            new RolloutRequest(
                    RolloutSimulation.GROUP, RolloutSimulation.TARGET, Duration.ofSeconds(60));
    private static final RolloutState TRIAL = RolloutState.begin(REQUEST, 0, 1, List.of());

    private ManualTimeSource mTime;
    private RolloutTable mTable;

    @BeforeMethod
    public void setUp() {
        mTime = new ManualTimeSource();
        mTable =
                new RolloutTable(
                        mTime,
                        new RolloutBounds(0.1, Duration.ofSeconds(5), Duration.ofSeconds(7)));
    }

    private void read(SoftwareVersion... versions) {
        List<UpstreamAnnouncement> upstreams = new ArrayList<>();
        for (SoftwareVersion version : versions) {
            upstreams.add(
                    new UpstreamAnnouncement(
                            new UpstreamId("upstream-" + version.value()),
                            RolloutSimulation.GROUP,
                            "127.0.0.1",
                            1,
                            new DataCentreId("a"),
                            false,
                            0,
                            Optional.empty(),
                            Optional.of(version)));
        }
        mTable.setUpstreams(RolloutSimulation.GROUP, upstreams);
        mTime.advance(Duration.ofMillis(100));
        mTable.setRequests(Map.of(RolloutSimulation.GROUP, REQUEST));
        mTable.onOrdersRead(ClockReading.now(mTime));
        mTable.onStatusRead(ClockReading.now(mTime));
    }

    private boolean isUsed(SoftwareVersion version) {
        return mTable.trySend(
                RolloutSimulation.GROUP,
                "route",
                SendKind.FIRST,
                new UpstreamId("upstream-" + version.value()),
                Optional.of(version));
    }

    /** Guards against an outage where the last old upstream ends during a trial. */
    @Test
    public void targetIsUsedIfNoOtherVersionIsLeft() {
        for (RolloutPhase phase : List.of(RolloutPhase.TRIAL, RolloutPhase.ROLLED_BACK)) {
            read(RolloutSimulation.OLD, RolloutSimulation.TARGET);
            mTable.setState(
                    phase == RolloutPhase.TRIAL ? TRIAL : TRIAL.next(RolloutPhase.ROLLED_BACK));
            assertFalse(isUsed(RolloutSimulation.TARGET), "beside the old version");
            read(RolloutSimulation.TARGET);
            assertFalse(isUsed(RolloutSimulation.TARGET), "old version missing for a moment");
            mTime.advance(Duration.ofSeconds(4));
            read(RolloutSimulation.TARGET);
            assertTrue(isUsed(RolloutSimulation.TARGET), phase + " without another version");
        }
        read(RolloutSimulation.OLD, RolloutSimulation.TARGET);
        assertFalse(isUsed(RolloutSimulation.TARGET), "old version is back");
    }

    /** Guards against an outage where the only version of a group is ordered. */
    @Test
    public void onlyVersionStaysInUseWhileItIsOnTrial() {
        read(RolloutSimulation.TARGET);
        mTable.setState(TRIAL);
        assertTrue(isUsed(RolloutSimulation.TARGET));
    }

    /** Guards against an outage where a completed order is written again beside a new version. */
    @Test
    public void completedVersionStaysInUseIfItIsOrderedAgain() {
        read(RolloutSimulation.OLD, RolloutSimulation.TARGET);
        mTable.setState(TRIAL.next(RolloutPhase.COMPLETED).withdraw(RolloutPhase.COMPLETED));
        assertTrue(isUsed(RolloutSimulation.TARGET));
    }

    /** Guards against an entry that takes the state of an older copy of the store for a new one. */
    @Test
    public void endIsKeptWhenTheStoreIsRestored() {
        read(RolloutSimulation.OLD, RolloutSimulation.TARGET);
        RolloutState ended =
                RolloutState.begin(REQUEST, 100, 7, List.of()).next(RolloutPhase.ROLLED_BACK);
        mTable.setState(ended);
        RolloutRequest before =
                new RolloutRequest(
                        RolloutSimulation.GROUP, RolloutSimulation.OLD, Duration.ofSeconds(60));
        mTable.setState(RolloutState.begin(before, 0, 1, List.of()));
        mTable.setState(
                new RolloutState(ended.order(), RolloutPhase.SWITCHING, 9, false, List.of()));
        assertEquals(mTable.state(RolloutSimulation.GROUP), Optional.of(ended));
    }

    /** Guards against entries that keep different ends of one order, recorded around a restore. */
    @Test
    public void newestOfTwoEndsIsUsed() {
        RolloutState completed =
                new RolloutState(TRIAL.order(), RolloutPhase.COMPLETED, 7, false, List.of());
        for (long revision : new long[] {5, 7, 9}) {
            RolloutState rolledBack =
                    new RolloutState(
                            TRIAL.order(), RolloutPhase.ROLLED_BACK, revision, false, List.of());
            RolloutState newest = revision < 7 ? completed : rolledBack;
            for (List<RolloutState> read :
                    List.of(List.of(completed, rolledBack), List.of(rolledBack, completed))) {
                setUp();
                read.forEach(mTable::setState);
                assertEquals(mTable.state(RolloutSimulation.GROUP), Optional.of(newest));
            }
        }
    }

    /** Guards against reads that are too rare for a short time for a roll-back. */
    @Test
    public void statusStaysFreshBetweenReads() {
        for (int rollbackMillis : new int[] {2000, 3000, 5000, 60_000}) {
            RolloutBounds bounds =
                    new RolloutBounds(0.1, Duration.ofMillis(rollbackMillis), Duration.ZERO);
            mTable = new RolloutTable(mTime, bounds);
            read(RolloutSimulation.OLD, RolloutSimulation.TARGET);
            mTable.setState(TRIAL.next(RolloutPhase.SWITCHING));
            ClockReading relayed = ClockReading.now(mTime);
            for (int i = 0; i < 5; i++) {
                ClockReading sent = ClockReading.now(mTime);
                mTime.advance(bounds.statusPollTime());
                assertTrue(isUsed(RolloutSimulation.TARGET), "bound " + rollbackMillis);
                mTable.onStatusRead(relayed);
                relayed = sent;
            }
        }
    }
}
