package org.boragethread.core.breaker;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.boragethread.core.admission.AdmissionController;
import org.boragethread.core.admission.AdmissionEvents;
import org.boragethread.core.admission.AdmissionRequest;
import org.boragethread.core.admission.CallOutcome;
import org.boragethread.core.admission.FixedAdmissionController;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.outcome.ExecutionStatus;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.team.Priority;
import org.boragethread.model.team.TeamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link BreakerAdmissionController}. */
public class BreakerAdmissionControllerTest {

    private static final int LIMIT = 4;

    private ManualTimeSource mTime;
    private BreakerAdmissionController mController;
    private List<AdmissionController.Permit> mPermits;
    private List<Refusal> mRefusals;
    private List<RefusalReason> mCountedReasons;

    @BeforeMethod
    public void createController() {
        mTime = new ManualTimeSource();
        mController =
                new BreakerAdmissionController(
                        new FixedAdmissionController(LIMIT),
                        new CircuitBreaker(mTime, new SplittableRandom(1), BreakerEvents.NONE),
                        new AdmissionEvents() {
                            @Override
                            public void onRefused(RefusalReason reason) {
                                mCountedReasons.add(reason);
                            }
                        });
        mPermits = new ArrayList<>();
        mRefusals = new ArrayList<>();
        mCountedReasons = new ArrayList<>();
    }

    @Test
    public void failingUpstreamIsNotCalledAndReportsNoCapacity() {
        fail(8);
        submit();
        assertEquals(mPermits, List.of());
        assertEquals(mRefusals.get(0).reason(), RefusalReason.CIRCUIT_OPEN);
        assertEquals(mRefusals.get(0).ran(), ExecutionStatus.NO);
        assertEquals(mCountedReasons, List.of(RefusalReason.CIRCUIT_OPEN));
        assertEquals(mController.load().limit(), 0);
    }

    @Test
    public void successfulProbeRestoresTheCapacity() {
        fail(8);
        mTime.advance(Duration.ofMillis(500));
        submit();
        submit();
        assertEquals(mPermits.size(), 1);
        mPermits.get(0).complete(CallOutcome.GOOD, Duration.ZERO);
        assertEquals(mController.load().limit(), LIMIT);
    }

    @Test
    public void anotherProbeMayStartAfterAProbeWasRefused() {
        fail(8);
        mTime.advance(Duration.ofMillis(500));
        mController.setLeaving(true);
        submit();
        mController.setLeaving(false);
        submit();
        assertEquals(mPermits.size(), 1);
    }

    private void fail(int calls) {
        for (int i = 0; i < calls; i++) {
            submit();
            mPermits.remove(0).complete(CallOutcome.FAILED, Duration.ZERO);
        }
    }

    private void submit() {
        mController.requestAdmission(
                new AdmissionRequest(new TeamId("patrol"), 1, Priority.NORMAL, Long.MAX_VALUE),
                new AdmissionController.Listener() {
                    @Override
                    public void onAdmitted(AdmissionController.Permit permit) {
                        mPermits.add(permit);
                    }

                    @Override
                    public void onRefused(Refusal refusal) {
                        mRefusals.add(refusal);
                    }
                });
    }
}
