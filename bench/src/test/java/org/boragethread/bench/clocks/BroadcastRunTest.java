package org.boragethread.bench.clocks;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests {@link ProbabilisticRun} and {@link LogRun}. */
public class BroadcastRunTest {

    private static final int PROCESSES = 10;
    private static final int MESSAGES = 500;
    private static final double CONCURRENCY = 5;

    @Test
    public void logOffsetsDeliverEveryMessageInCausalOrder() {
        ClockResult result = new LogRun(setup(1, 1)).run();
        assertEquals(result.deliveries(), MESSAGES * (PROCESSES - 1));
        assertEquals(result.errors(), 0);
    }

    @Test
    public void manyEntriesDeliverInCausalOrder() {
        ClockResult result = new ProbabilisticRun(setup(200, 6)).run();
        assertEquals(result.deliveries(), MESSAGES * (PROCESSES - 1));
        assertEquals(result.errors(), 0);
    }

    @Test
    public void oneEntryForAllProcessesDeliversOutOfCausalOrder() {
        ClockResult result = new ProbabilisticRun(setup(1, 1)).run();
        assertTrue(result.errors() > 0, "no error in " + result);
    }

    @Test
    public void sameSeedGivesSameResult() {
        assertEquals(
                new ProbabilisticRun(setup(8, 2)).run(), new ProbabilisticRun(setup(8, 2)).run());
    }

    private static ClockSetup setup(int entries, int increments) {
        return new ClockSetup(PROCESSES, entries, increments, CONCURRENCY, MESSAGES, 7);
    }
}
