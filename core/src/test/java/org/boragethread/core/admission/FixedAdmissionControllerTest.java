package org.boragethread.core.admission;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.team.Priority;
import org.boragethread.model.team.TeamId;
import org.testng.annotations.Test;

/** Tests {@link FixedAdmissionController}. */
public class FixedAdmissionControllerTest {

    private static final AdmissionRequest REQUEST =
            new AdmissionRequest(new TeamId("patrol"), 1, Priority.NORMAL, Long.MAX_VALUE);

    private final FixedAdmissionController mController = new FixedAdmissionController(1);
    private final List<AdmissionController.Permit> mPermits = new ArrayList<>();
    private final List<RefusalReason> mRefusals = new ArrayList<>();

    @Test
    public void callsAboveTheLimitAreRefusedUntilACallEnds() {
        submit();
        submit();
        mPermits.get(0).complete(CallOutcome.GOOD, Duration.ZERO);
        submit();
        assertEquals(mRefusals, List.of(RefusalReason.QUEUE_FULL));
        assertEquals(mPermits.size(), 2);
    }

    private void submit() {
        mController.requestAdmission(
                REQUEST,
                new AdmissionController.Listener() {
                    @Override
                    public void onAdmitted(AdmissionController.Permit permit) {
                        mPermits.add(permit);
                    }

                    @Override
                    public void onRefused(Refusal refusal) {
                        mRefusals.add(refusal.reason());
                    }
                });
    }
}
