package org.boragethread.core.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.boragethread.core.limit.FixedLimit;
import org.boragethread.core.limit.LimitChange;
import org.boragethread.core.limit.LimitChangeReason;
import org.boragethread.core.limit.ReportedLoad;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.team.Priority;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.GroupKind;
import org.boragethread.model.upstream.UpstreamGroup;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link AdaptiveAdmissionController}. */
public class AdaptiveAdmissionControllerTest {

    private static final UpstreamGroup GROUP =
            new UpstreamGroup(new GroupId("crews"), GroupKind.PLAIN, 2, 16, false);
    private static final Duration SERVICE = Duration.ofMillis(100);

    private ManualTimeSource mTime;
    private List<LimitChange> mChanges;
    private AdaptiveAdmissionController mGate;
    private CallRecorder mCalls;

    @BeforeMethod
    public void makeGate() {
        mTime = new ManualTimeSource();
        mChanges = new ArrayList<>();
        use(builder());
    }

    private AdaptiveAdmissionController.Builder builder() {
        return new AdaptiveAdmissionController.Builder(mTime, mTime, GROUP)
                .maxQueue(4)
                .events(
                        new AdmissionEvents() {
                            @Override
                            public void onLimitChanged(LimitChange change) {
                                mChanges.add(change);
                            }
                        });
    }

    private void use(AdaptiveAdmissionController.Builder builder) {
        mGate = builder.build();
        mCalls = new CallRecorder(mGate);
    }

    @Test
    public void coldUpstreamGetsTheColdLimitAndTheRestWaits() {
        offerMany(5, Priority.NORMAL);
        assertEquals(mGate.load().inFlight(), 2);
        assertEquals(mGate.load().queued(), 3);
        assertTrue(mGate.load().cold());
    }

    @Test
    public void callBeyondTheQueueIsRefusedAtOnce() {
        offerMany(6, Priority.NORMAL);
        CallRecorder.Call last = mCalls.submit(Priority.NORMAL);
        assertEquals(last.mRefusals, List.of(RefusalReason.QUEUE_FULL));
    }

    @Test
    public void freedCapacityGoesToTheHigherPriority() {
        offerMany(2, Priority.NORMAL);
        CallRecorder.Call normal = mCalls.submit(Priority.NORMAL);
        CallRecorder.Call interactive = mCalls.submit(Priority.INTERACTIVE);
        finishFirst(CallOutcome.GOOD);
        assertTrue(interactive.isAdmitted());
        assertFalse(normal.isAdmitted());
    }

    @Test
    public void fullQueueMakesRoomForAHigherPriority() {
        offerMany(6, Priority.NORMAL);
        CallRecorder.Call interactive = mCalls.submit(Priority.INTERACTIVE);
        assertEquals(interactive.decisionCount(), 0);
        CallRecorder.Call displaced = mCalls.calls().get(5);
        assertEquals(displaced.mRefusals, List.of(RefusalReason.QUEUE_FULL));
    }

    @Test
    public void fullQueueOfOneTeamMakesRoomForAnother() {
        offerMany(6, Priority.NORMAL);
        CallRecorder.Call other = mCalls.submit("district", 1, Priority.NORMAL, Long.MAX_VALUE);
        assertEquals(other.decisionCount(), 0);
        finishFirst(CallOutcome.GOOD);
        finishFirst(CallOutcome.GOOD);
        assertTrue(other.isAdmitted());
    }

    @Test
    public void earliestDeadlineGoesFirstWithinATeam() {
        offerMany(2, Priority.NORMAL);
        CallRecorder.Call late = offerWithin(Duration.ofSeconds(9));
        CallRecorder.Call early = offerWithin(Duration.ofSeconds(5));
        finishFirst(CallOutcome.GOOD);
        assertTrue(early.isAdmitted());
        assertFalse(late.isAdmitted());
    }

    @Test
    public void jobsLeaveRoomForOtherCalls() {
        offerMany(2, Priority.BATCH);
        assertEquals(mGate.load().inFlight(), 1);
        assertTrue(mCalls.submit(Priority.INTERACTIVE).isAdmitted());
    }

    @Test
    public void jobsWaitWhileOtherCallsWait() {
        CallRecorder.Call job = mCalls.submit(Priority.BATCH);
        offerMany(2, Priority.NORMAL);
        job.permit().complete(CallOutcome.GOOD, SERVICE);
        CallRecorder.Call next = mCalls.submit(Priority.BATCH);
        assertEquals(next.decisionCount(), 0);
        assertEquals(mGate.load().inFlight(), 2);
    }

    @Test
    public void limitBelowTheCallsInFlightAdmitsNothingUntilTheyEnd() {
        use(builder().limit(new FixedLimit(4)));
        offerMany(5, Priority.NORMAL);
        mGate.reconfigure(new UpstreamGroup(GROUP.id(), GroupKind.PLAIN, 1, 2, false));
        finishFirst(CallOutcome.GOOD);
        finishFirst(CallOutcome.GOOD);
        assertEquals(mGate.load().inFlight(), 2);
        assertEquals(mGate.load().queued(), 1);
        finishFirst(CallOutcome.GOOD);
        assertEquals(mGate.load().queued(), 0);
    }

    @Test
    public void passedDeadlineIsRefused() {
        CallRecorder.Call call = offerWithin(Duration.ZERO);
        assertEquals(call.mRefusals, List.of(RefusalReason.DEADLINE_EXCEEDED));
    }

    @Test
    public void callWithLessTimeThanTheUpstreamTakesIsRefusedOnOffer() {
        learnServiceTime();
        mCalls.submit(Priority.NORMAL);
        CallRecorder.Call call = offerWithin(SERVICE.dividedBy(2));
        assertEquals(call.mRefusals, List.of(RefusalReason.DEADLINE_HOPELESS));
    }

    @Test
    public void waitingCallIsRefusedAsSoonAsItsTimeIsTooShort() {
        learnServiceTime();
        offerMany(mGate.load().limit(), Priority.NORMAL);
        CallRecorder.Call call = offerWithin(SERVICE.multipliedBy(3));
        assertEquals(call.decisionCount(), 0);
        mTime.advance(SERVICE.multipliedBy(2).plusMillis(5));
        assertEquals(call.mRefusals, List.of(RefusalReason.DEADLINE_HOPELESS));
    }

    @Test
    public void estimateThatRefusesEverythingIsTriedAgain() {
        learnServiceTime();
        mTime.advance(Duration.ofSeconds(1));
        assertTrue(offerWithin(SERVICE.dividedBy(2)).isAdmitted());
    }

    @Test
    public void leavingGateRefusesNewAndWaitingCalls() {
        offerMany(3, Priority.NORMAL);
        mGate.setLeaving(true);
        CallRecorder.Call fresh = mCalls.submit(Priority.NORMAL);
        assertEquals(mCalls.calls().get(2).mRefusals, List.of(RefusalReason.LEAVING));
        assertEquals(fresh.mRefusals, List.of(RefusalReason.LEAVING));
        assertEquals(mGate.load().inFlight(), 2);
    }

    @Test
    public void withdrawnCallHearsNothing() {
        offerMany(2, Priority.NORMAL);
        CallRecorder.Call call = mCalls.submit(Priority.NORMAL);
        call.mCancelHandle.cancel();
        finishFirst(CallOutcome.GOOD);
        assertEquals(call.decisionCount(), 0);
        assertEquals(mGate.load().queued(), 0);
    }

    @Test
    public void permitCountsOnce() {
        CallRecorder.Call call = mCalls.submit(Priority.NORMAL);
        call.permit().complete(CallOutcome.GOOD, SERVICE);
        call.permit().complete(CallOutcome.GOOD, SERVICE);
        assertEquals(mGate.load().inFlight(), 0);
    }

    @Test
    public void lostUpstreamReturnsToTheColdLimit() {
        learnServiceTime();
        assertTrue(mGate.load().limit() > GROUP.coldLimit());
        mGate.onUpstreamLost();
        assertEquals(mGate.load().limit(), GROUP.coldLimit());
        LimitChange last = mChanges.get(mChanges.size() - 1);
        assertEquals(last.reason(), LimitChangeReason.LOST);
    }

    @Test
    public void reportOfAGroupThatReportsNoneIsIgnored() {
        mGate.onReportedLoad(new ReportedLoad(0, 1, Duration.ZERO));
        assertEquals(mGate.load().limit(), GROUP.coldLimit());
    }

    private void learnServiceTime() {
        for (int i = 0; i < 40; i++) {
            CallRecorder.Call one = mCalls.submit(Priority.NORMAL);
            CallRecorder.Call two = mCalls.submit(Priority.NORMAL);
            mTime.advance(SERVICE);
            one.permit().complete(CallOutcome.GOOD, SERVICE);
            two.permit().complete(CallOutcome.GOOD, SERVICE);
        }
        mCalls.calls().clear();
    }

    private CallRecorder.Call offerWithin(Duration time) {
        return mCalls.submit("patrol", 1, Priority.NORMAL, mTime.nanoTime() + time.toNanos());
    }

    private void offerMany(int calls, Priority priority) {
        for (int i = 0; i < calls; i++) {
            mCalls.submit(priority);
        }
    }

    /** Ends the oldest call in flight. */
    private void finishFirst(CallOutcome outcome) {
        CallRecorder.Call first =
                mCalls.calls().stream().filter(CallRecorder.Call::isAdmitted).findFirst().get();
        mCalls.calls().remove(first);
        first.permit().complete(outcome, SERVICE);
    }
}
