package org.boragethread.core.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.follow.ReadFailure;
import org.boragethread.core.member.Member;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.upstream.GroupId;
import org.testng.annotations.Test;

/** Tests the decisions on an order where versions, entries or the store go missing. */
public class RolloutCoordinatorTest {

    private static final RolloutRequest REQUEST =
            new RolloutRequest(
                    RolloutSimulation.GROUP, RolloutSimulation.TARGET, Duration.ofSeconds(60));
    private static final Duration DEPARTURE = Duration.ofSeconds(7);
    private static final Member MEMBER = new Member("entry", 1, 100, new DataCentreId("a"));
    private static final Member LOST = new Member("lost", 1, 100, new DataCentreId("a"));

    private final ManualTimeSource mTime = new ManualTimeSource();

    private static RolloutState trial() {
        return RolloutState.begin(REQUEST, 0, 1, List.of());
    }

    private static EntryReport report(Member member, long sequence, RolloutState state, long old) {
        return new EntryReport(
                member.address(), member.startedAt(), sequence, state, old, RolloutEvidence.NONE);
    }

    /** Guards against a trial, and a roll-back, of the version that is in use already. */
    @Test
    public void versionThatWasCompletedLastGetsNoTrialAgain() {
        RolloutState ended = trial().next(RolloutPhase.COMPLETED).withdraw(RolloutPhase.COMPLETED);
        OrderDecision.Proposal next =
                OrderDecision.next(Optional.of(ended), Optional.of(REQUEST), 100).orElseThrow();
        assertEquals(next.state().phase(), RolloutPhase.SWITCHING);
        assertTrue(next.state().revision() > ended.revision());
        AnnouncedVersions versions = new AnnouncedVersions(mTime);
        versions.set(Set.of(RolloutSimulation.OLD, RolloutSimulation.TARGET));
        versions.setTarget(RolloutSimulation.TARGET);
        versions.set(Set.of(RolloutSimulation.TARGET));
        assertFalse(versions.isOnlyTarget(), "old version missing for a moment");
        mTime.advance(Duration.ofSeconds(4));
        assertTrue(versions.isOnlyTarget(), "old version gone");
        EvidenceReview review = new EvidenceReview();
        review.update(evidence(0, 100, 100), 0, 0.1);
        PhaseDecision.Situation situation =
                new PhaseDecision.Situation(0.1, true, Duration.ZERO, false, true, true, true);
        assertEquals(
                PhaseDecision.next(next.state(), review, situation).map(PhaseDecision.Step::phase),
                Optional.of(RolloutPhase.COMPLETED));
    }

    private static RolloutEvidence evidence(long old, long target, long failures) {
        long[] times = new long[VersionCounts.BUCKETS];
        return new RolloutEvidence(
                Map.of(
                        "route",
                        Map.of(
                                VersionSide.OLD,
                                new VersionCounts(old, 0, 0, times),
                                VersionSide.TARGET,
                                new VersionCounts(target, failures, failures, times))));
    }

    /** Guards against a coordinator that stops deciding after one call that throws. */
    @Test
    public void callsThatThrowAreRepeated() {
        SimulatedLog log = new SimulatedLog(mTime, new SplittableRandom(1));
        int[] calls = new int[2];
        RolloutLog failing =
                new RolloutLog() {
                    @Override
                    public void read(
                            GroupId group, Consumer<Either<ReadFailure, RolloutRead>> callback) {
                        if (calls[0]++ == 0) {
                            throw new IllegalStateException("closed");
                        }
                        log.read(false, callback);
                    }

                    @Override
                    public void append(
                            RolloutState state, long end, Consumer<AppendResult> callback) {
                        if (calls[1]++ == 0) {
                            throw new IllegalStateException("closed");
                        }
                        log.append(state, end, false, false, callback);
                    }
                };
        RolloutCoordinator coordinator =
                new RolloutCoordinator(
                        RolloutSimulation.GROUP,
                        mTime,
                        new RolloutBounds(0.1, Duration.ofSeconds(5), DEPARTURE),
                        failing,
                        RolloutEvents.NONE);
        for (int i = 0; i < 40; i++) {
            mTime.advance(Duration.ofMillis(RolloutCoordinator.TICK_MILLIS));
            coordinator.setRequest(Optional.of(REQUEST), ClockReading.now(mTime));
            coordinator.tick();
        }
        assertEquals(log.state().map(RolloutState::phase), Optional.of(RolloutPhase.TRIAL));
        assertTrue(calls[1] >= 2, "appends: " + calls[1]);
    }

    /** Guards against reports on a lost state that pass for reports on its successor. */
    @Test
    public void stateThatTheStoreLostIsRecordedUnderAnotherRevision() {
        RolloutState switching = trial().next(RolloutPhase.SWITCHING);
        SimulatedLog log = new SimulatedLog(mTime, new SplittableRandom(1));
        log.append(trial(), 0, false, false, result -> {});
        RolloutCoordinator coordinator = coordinator(log);
        coordinator.onState(switching);
        runTicks(coordinator, 20);
        assertEquals(log.state().map(RolloutState::phase), Optional.of(RolloutPhase.SWITCHING));
        assertTrue(log.state().orElseThrow().revision() > switching.revision());
    }

    /** Guards against an order that is ignored, because its predecessor was not withdrawn yet. */
    @Test
    public void requestThatIsWrittenAgainBeforeItsRemovalIsRecordedIsAnotherOrder() {
        RolloutState ended = trial().next(RolloutPhase.ROLLED_BACK);
        SimulatedLog log = new SimulatedLog(mTime, new SplittableRandom(1));
        log.append(ended, 0, false, false, result -> {});
        RolloutCoordinator coordinator = coordinator(log);
        coordinator.onState(ended);
        mTime.advance(Duration.ofMillis(100));
        coordinator.setRequest(Optional.empty(), ClockReading.now(mTime));
        runTicks(coordinator, 20);
        assertEquals(log.state().map(RolloutState::phase), Optional.of(RolloutPhase.TRIAL));
        assertTrue(log.state().orElseThrow().order().startedMillis() > 0);
    }

    /** Guards against an outcome that a restored store lost, and that is decided again. */
    @Test
    public void endThatTheStoreLostIsRecordedAgain() {
        RolloutState ended =
                RolloutState.begin(REQUEST, 100, 7, List.of()).next(RolloutPhase.ROLLED_BACK);
        SeenState seen = new SeenState();
        seen.add(ended);
        RolloutRequest before =
                new RolloutRequest(
                        RolloutSimulation.GROUP, RolloutSimulation.OLD, Duration.ofSeconds(60));
        RolloutState older = RolloutState.begin(before, 0, 1, List.of());
        assertEquals(seen.lost(Optional.empty(), Optional.empty()), Optional.of(ended));
        assertEquals(seen.lost(Optional.of(older), Optional.empty()), Optional.of(ended));
        assertEquals(
                seen.lost(Optional.of(older), Optional.of(before)),
                Optional.empty(),
                "the older order is asked for");
        RolloutState other =
                new RolloutState(ended.order(), RolloutPhase.COMPLETED, 3, false, List.of());
        assertEquals(seen.lost(Optional.of(other), Optional.empty()), Optional.of(ended));
        assertEquals(
                seen.lost(Optional.of(other.above(ended.revision())), Optional.empty()),
                Optional.empty(),
                "a newer outcome that is recorded stays");
    }

    /** Guards against entries that use different ends of one order, recorded around a restore. */
    @Test
    public void newestOfTwoEndsIsRecordedAgain() {
        RolloutState completed = end(RolloutPhase.COMPLETED, 7);
        for (long revision : new long[] {5, 7, 9}) {
            RolloutState rolledBack = end(RolloutPhase.ROLLED_BACK, revision);
            RolloutState newest = revision < 7 ? completed : rolledBack;
            RolloutState older = revision < 7 ? rolledBack : completed;
            assertEquals(endAfter(newest, older).phase(), newest.phase(), "revision " + revision);
            assertEquals(endAfter(older, newest).phase(), newest.phase(), "revision " + revision);
            assertTrue(endAfter(older, newest).revision() > newest.revision());
        }
    }

    private static RolloutState end(RolloutPhase phase, long revision) {
        return new RolloutState(trial().order(), phase, revision, false, List.of());
    }

    /** Returns the state that is recorded when the store has an end and an entry knows another. */
    private RolloutState endAfter(RolloutState recorded, RolloutState known) {
        SimulatedLog log = new SimulatedLog(mTime, new SplittableRandom(1));
        log.append(recorded, 0, false, false, result -> {});
        RolloutCoordinator coordinator = coordinator(log);
        coordinator.onState(known);
        runTicks(coordinator, 20);
        return log.state().orElseThrow();
    }

    private RolloutCoordinator coordinator(SimulatedLog log) {
        return new RolloutCoordinator(
                RolloutSimulation.GROUP,
                mTime,
                new RolloutBounds(0.1, Duration.ofSeconds(5), DEPARTURE),
                new RolloutLog() {
                    @Override
                    public void read(
                            GroupId group, Consumer<Either<ReadFailure, RolloutRead>> callback) {
                        log.read(false, callback);
                    }

                    @Override
                    public void append(
                            RolloutState state, long end, Consumer<AppendResult> callback) {
                        log.append(state, end, false, false, callback);
                    }
                },
                RolloutEvents.NONE);
    }

    private void runTicks(RolloutCoordinator coordinator, int ticks) {
        for (int i = 0; i < ticks; i++) {
            mTime.advance(Duration.ofMillis(RolloutCoordinator.TICK_MILLIS));
            coordinator.setRequest(Optional.of(REQUEST), ClockReading.now(mTime));
            coordinator.setVersions(Set.of(RolloutSimulation.OLD, RolloutSimulation.TARGET));
            coordinator.tick();
        }
    }

    /** Guards against an end while an entry without membership still uses the old version. */
    @Test
    public void entryThatStillReportsAnOlderStateBlocksTheEnd() {
        RolloutState switching = trial().next(RolloutPhase.SWITCHING);
        SwitchBarrier barrier = new SwitchBarrier(mTime, DEPARTURE);
        barrier.setMembers(List.of(MEMBER, LOST));
        barrier.onState(trial());
        for (int i = 0; i < 40; i++) {
            barrier.setMembers(List.of(MEMBER));
            barrier.onReport(report(MEMBER, i, switching, 0));
            barrier.onReport(report(LOST, i, trial(), 0));
            assertFalse(barrier.isClear(switching), "report " + i);
            mTime.advance(Duration.ofMillis(EntryReport.PERIOD_MILLIS));
        }
        mTime.advance(DEPARTURE);
        barrier.setMembers(List.of(MEMBER));
        barrier.onReport(report(MEMBER, 100, switching, 0));
        assertTrue(barrier.isClear(switching), "the entry has ended");
        assertEquals(barrier.reportCount(), 1);
    }

    /** Guards against memory for every entry that ever reported on any order. */
    @Test
    public void reportsOnEarlierOrdersAreForgotten() {
        SwitchBarrier barrier = new SwitchBarrier(mTime, DEPARTURE);
        for (int i = 0; i < 50; i++) {
            Member member = new Member("entry-" + i, i, 100, new DataCentreId("a"));
            barrier.onReport(report(member, 1, trial(), 0));
        }
        assertEquals(barrier.reportCount(), 50);
        RolloutState other = RolloutState.begin(REQUEST, 100, 9, List.of());
        barrier.beginOrder(other.order());
        assertEquals(barrier.reportCount(), 0);
    }

    /** Guards against a switch to a version that was never tried, although there was traffic. */
    @Test
    public void versionThatWasNeverTriedIsNotSwitchedTo() {
        for (double elapsed : new double[] {0.76, 0.91}) {
            EvidenceReview review = new EvidenceReview();
            review.update(evidence(1000, 0, 0), 0, elapsed);
            PhaseDecision.Situation situation =
                    new PhaseDecision.Situation(
                            elapsed, true, Duration.ZERO, false, false, true, false);
            Optional<RolloutPhase> phase =
                    PhaseDecision.next(trial(), review, situation).map(PhaseDecision.Step::phase);
            assertEquals(
                    phase,
                    elapsed < 0.9 ? Optional.empty() : Optional.of(RolloutPhase.ROLLED_BACK));
        }
    }

    /** Guards against a good version that is rolled back as disrupted for want of traffic. */
    @Test
    public void fewOldResponsesAreNoDisruption() {
        EvidenceReview review = new EvidenceReview();
        review.update(evidence(1, 1, 0), 0, 0.76);
        PhaseDecision.Situation situation =
                new PhaseDecision.Situation(0.76, true, Duration.ZERO, false, false, true, false);
        assertEquals(
                PhaseDecision.next(trial(), review, situation).map(PhaseDecision.Step::phase),
                Optional.of(RolloutPhase.SWITCHING));
    }

    /** Guards against times without a finite ratio that count as the fastest ones. */
    @Test
    public void infiniteTimeIsInTheLastBucket() {
        assertEquals(VersionCounts.bucket(Double.POSITIVE_INFINITY), VersionCounts.BUCKETS - 1);
        assertEquals(VersionCounts.bucket(0), 0);
        assertEquals(VersionCounts.bucket(1e300), VersionCounts.BUCKETS - 1);
    }
}
