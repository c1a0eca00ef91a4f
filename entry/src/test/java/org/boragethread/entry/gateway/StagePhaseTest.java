package org.boragethread.entry.gateway;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which requests {@link StagePhase} submits as continued ones. */
public class StagePhaseTest {

    @DataProvider
    public static Object[][] requests() {
        return new Object[][] {
            {"new", false, false, 1, false},
            {"resumed within its response", false, true, 2, true},
            {"taken up from an earlier response", true, false, 1, true},
            {"run again after its inputs were lost", false, false, 2, true},
        };
    }

    /** Guards against stages that are rejected, or yield, although work was done for them. */
    @Test(dataProvider = "requests")
    public void requestForWhichWorkWasDoneIsContinued(
            String request, boolean takenUp, boolean hasForwarded, int run, boolean continued) {
        assertEquals(StagePhase.isContinuation(takenUp, hasForwarded, run), continued, request);
    }
}
