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

/** Tests {@link FixedGate}. */
public class FixedGateTest {

    private static final GateRequest REQUEST =
            new GateRequest(new TeamId("patrol"), 1, Priority.NORMAL, Long.MAX_VALUE);

    private final FixedGate mGate = new FixedGate(1);
    private final List<Gate.Permit> mPermits = new ArrayList<>();
    private final List<RefusalReason> mRefusals = new ArrayList<>();

    @Test
    public void callsAboveTheLimitAreRefusedUntilOneEnds() {
        offer();
        offer();
        mPermits.get(0).complete(CallOutcome.GOOD, Duration.ZERO);
        offer();
        assertEquals(mRefusals, List.of(RefusalReason.QUEUE_FULL));
        assertEquals(mPermits.size(), 2);
    }

    private void offer() {
        mGate.offer(
                REQUEST,
                new Gate.Listener() {
                    @Override
                    public void onAdmitted(Gate.Permit permit) {
                        mPermits.add(permit);
                    }

                    @Override
                    public void onRefused(Refusal refusal) {
                        mRefusals.add(refusal.reason());
                    }
                });
    }
}
