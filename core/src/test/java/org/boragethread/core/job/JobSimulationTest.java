package org.boragethread.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Runs jobs under seeded pauses, crashes, restarts and log faults. */
public class JobSimulationTest {

    private static final int SEEDS = 100;
    private static final int MAX_SEEDS_TO_DETECT = 1_000;
    private static final int STEPS = 150;

    @Test
    public void everyAcceptedJobFinishesWithOneEffect() {
        int accepted = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            JobSimulation simulation = new JobSimulation(seed, JobPolicy.STRICT);
            simulation.run(STEPS);
            assertEquals(simulation.violation(), "", "seed " + seed);
            accepted += simulation.accepted();
        }
        assertTrue(accepted > 5 * SEEDS, "too few accepted jobs: " + accepted);
    }

    @Test
    public void missingFenceCheckIsDetected() {
        for (long seed = 0; seed < MAX_SEEDS_TO_DETECT; seed++) {
            JobSimulation simulation = new JobSimulation(seed, new JobPolicy(false));
            simulation.run(STEPS);
            if (!simulation.violation().isEmpty()) {
                return;
            }
        }
        throw new AssertionError("no seed detects that fences are not checked");
    }
}
