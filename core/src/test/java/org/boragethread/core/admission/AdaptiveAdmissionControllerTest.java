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
    private static final Duration SERVICE_TIME = Duration.ofMillis(100);

    private ManualTimeSource mTime;
    private List<LimitChange> mChanges;
    private AdaptiveAdmissionController mController;
    private CallRecorder mCalls;

    @BeforeMethod
    public void createController() {
        mTime = new ManualTimeSource();
        mChanges = new ArrayList<>();
        build(builder());
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

    private void build(AdaptiveAdmissionController.Builder builder) {
        mController = builder.build();
        mCalls = new CallRecorder(mController);
    }

    @Test
    public void callsAboveTheColdLimitAreQueued() {
        submitMany(5, Priority.NORMAL);
        assertEquals(mController.load().inFlight(), 2);
        assertEquals(mController.load().queued(), 3);
        assertTrue(mController.load().cold());
    }

    @Test
    public void callIsRefusedWhenTheQueueIsFull() {
        submitMany(6, Priority.NORMAL);
        CallRecorder.Call last = mCalls.submit(Priority.NORMAL);
        assertEquals(last.mRefusals, List.of(RefusalReason.QUEUE_FULL));
    }

    @Test
    public void freedCapacityGoesToTheHigherPriority() {
        submitMany(2, Priority.NORMAL);
        CallRecorder.Call normal = mCalls.submit(Priority.NORMAL);
        CallRecorder.Call interactive = mCalls.submit(Priority.INTERACTIVE);
        completeFirst(CallOutcome.GOOD);
        assertTrue(interactive.isAdmitted());
        assertFalse(normal.isAdmitted());
    }

    @Test
    public void higherPriorityDisplacesACallFromAFullQueue() {
        submitMany(6, Priority.NORMAL);
        CallRecorder.Call interactive = mCalls.submit(Priority.INTERACTIVE);
        assertEquals(interactive.decisionCount(), 0);
        CallRecorder.Call displaced = mCalls.calls().get(5);
        assertEquals(displaced.mRefusals, List.of(RefusalReason.QUEUE_FULL));
    }

    @Test
    public void otherTeamDisplacesACallFromAFullQueueOfOneTeam() {
        submitMany(6, Priority.NORMAL);
        CallRecorder.Call other = mCalls.submit("district", 1, Priority.NORMAL, Long.MAX_VALUE);
        assertEquals(other.decisionCount(), 0);
        completeFirst(CallOutcome.GOOD);
        completeFirst(CallOutcome.GOOD);
        assertTrue(other.isAdmitted());
    }

    @Test
    public void earliestDeadlineGoesFirstWithinATeam() {
        submitMany(2, Priority.NORMAL);
        CallRecorder.Call late = submitWithDeadlineIn(Duration.ofSeconds(9));
        CallRecorder.Call early = submitWithDeadlineIn(Duration.ofSeconds(5));
        completeFirst(CallOutcome.GOOD);
        assertTrue(early.isAdmitted());
        assertFalse(late.isAdmitted());
    }

    @Test
    public void batchCallsLeaveCapacityForOtherCalls() {
        submitMany(2, Priority.BATCH);
        assertEquals(mController.load().inFlight(), 1);
        assertTrue(mCalls.submit(Priority.INTERACTIVE).isAdmitted());
    }

    @Test
    public void batchCallsAreQueuedWhileOtherCallsAreQueued() {
        CallRecorder.Call batch = mCalls.submit(Priority.BATCH);
        submitMany(2, Priority.NORMAL);
        batch.permit().complete(CallOutcome.GOOD, SERVICE_TIME);
        CallRecorder.Call next = mCalls.submit(Priority.BATCH);
        assertEquals(next.decisionCount(), 0);
        assertEquals(mController.load().inFlight(), 2);
    }

    @Test
    public void nothingIsAdmittedWhileCallsInFlightExceedALoweredLimit() {
        build(builder().limit(new FixedLimit(4)));
        submitMany(5, Priority.NORMAL);
        mController.reconfigure(new UpstreamGroup(GROUP.id(), GroupKind.PLAIN, 1, 2, false));
        completeFirst(CallOutcome.GOOD);
        completeFirst(CallOutcome.GOOD);
        assertEquals(mController.load().inFlight(), 2);
        assertEquals(mController.load().queued(), 1);
        completeFirst(CallOutcome.GOOD);
        assertEquals(mController.load().queued(), 0);
    }

    @Test
    public void passedDeadlineIsRefused() {
        CallRecorder.Call call = submitWithDeadlineIn(Duration.ZERO);
        assertEquals(call.mRefusals, List.of(RefusalReason.DEADLINE_EXCEEDED));
    }

    @Test
    public void callWithLessTimeThanTheServiceTimeIsRefusedAtOnce() {
        observeServiceTime();
        mCalls.submit(Priority.NORMAL);
        CallRecorder.Call call = submitWithDeadlineIn(SERVICE_TIME.dividedBy(2));
        assertEquals(call.mRefusals, List.of(RefusalReason.DEADLINE_HOPELESS));
    }

    @Test
    public void queuedCallIsRefusedOnceItsRemainingTimeIsTooShort() {
        observeServiceTime();
        submitMany(mController.load().limit(), Priority.NORMAL);
        CallRecorder.Call call = submitWithDeadlineIn(SERVICE_TIME.multipliedBy(3));
        assertEquals(call.decisionCount(), 0);
        mTime.advance(SERVICE_TIME.multipliedBy(2).plusMillis(5));
        assertEquals(call.mRefusals, List.of(RefusalReason.DEADLINE_HOPELESS));
    }

    @Test
    public void probeIsAdmittedAfterTheEstimateRefusedCalls() {
        observeServiceTime();
        mTime.advance(Duration.ofSeconds(1));
        assertTrue(submitWithDeadlineIn(SERVICE_TIME.dividedBy(2)).isAdmitted());
    }

    @Test
    public void leavingUpstreamRefusesNewAndQueuedCalls() {
        submitMany(3, Priority.NORMAL);
        mController.setLeaving(true);
        CallRecorder.Call fresh = mCalls.submit(Priority.NORMAL);
        assertEquals(mCalls.calls().get(2).mRefusals, List.of(RefusalReason.LEAVING));
        assertEquals(fresh.mRefusals, List.of(RefusalReason.LEAVING));
        assertEquals(mController.load().inFlight(), 2);
    }

    @Test
    public void cancelledCallIsNotNotified() {
        submitMany(2, Priority.NORMAL);
        CallRecorder.Call call = mCalls.submit(Priority.NORMAL);
        call.mCancelHandle.cancel();
        completeFirst(CallOutcome.GOOD);
        assertEquals(call.decisionCount(), 0);
        assertEquals(mController.load().queued(), 0);
    }

    @Test
    public void completingAPermitTwiceHasNoEffect() {
        CallRecorder.Call call = mCalls.submit(Priority.NORMAL);
        call.permit().complete(CallOutcome.GOOD, SERVICE_TIME);
        call.permit().complete(CallOutcome.GOOD, SERVICE_TIME);
        assertEquals(mController.load().inFlight(), 0);
    }

    @Test
    public void lostUpstreamReturnsToTheColdLimit() {
        observeServiceTime();
        assertTrue(mController.load().limit() > GROUP.coldLimit());
        mController.onUpstreamLost();
        assertEquals(mController.load().limit(), GROUP.coldLimit());
        LimitChange last = mChanges.get(mChanges.size() - 1);
        assertEquals(last.reason(), LimitChangeReason.LOST);
    }

    @Test
    public void reportedLoadIsIgnoredForGroupsThatDoNotReportLoad() {
        mController.onReportedLoad(new ReportedLoad(0, 1, Duration.ZERO));
        assertEquals(mController.load().limit(), GROUP.coldLimit());
    }

    private void observeServiceTime() {
        for (int i = 0; i < 40; i++) {
            CallRecorder.Call one = mCalls.submit(Priority.NORMAL);
            CallRecorder.Call two = mCalls.submit(Priority.NORMAL);
            mTime.advance(SERVICE_TIME);
            one.permit().complete(CallOutcome.GOOD, SERVICE_TIME);
            two.permit().complete(CallOutcome.GOOD, SERVICE_TIME);
        }
        mCalls.calls().clear();
    }

    private CallRecorder.Call submitWithDeadlineIn(Duration time) {
        return mCalls.submit("patrol", 1, Priority.NORMAL, mTime.nanoTime() + time.toNanos());
    }

    private void submitMany(int calls, Priority priority) {
        for (int i = 0; i < calls; i++) {
            mCalls.submit(priority);
        }
    }

    /** Completes the oldest call in flight. */
    private void completeFirst(CallOutcome outcome) {
        CallRecorder.Call first =
                mCalls.calls().stream().filter(CallRecorder.Call::isAdmitted).findFirst().get();
        mCalls.calls().remove(first);
        first.permit().complete(outcome, SERVICE_TIME);
    }
}
