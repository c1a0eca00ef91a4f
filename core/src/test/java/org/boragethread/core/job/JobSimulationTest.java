package org.boragethread.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Runs jobs through seeded pauses, deaths, restarts and log faults. */
public class JobSimulationTest {

    private static final int SEEDS = 100;
    private static final int MAX_SEEDS_TO_CATCH = 1_000;
    private static final int STEPS = 150;

    @Test
    public void everyAcceptedJobFinishesWithOneEffect() {
        int accepted = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            JobSimulation world = new JobSimulation(seed, JobPolicy.STRICT);
            world.run(STEPS);
            assertEquals(world.violation(), "", "seed " + seed);
            accepted += world.accepted();
        }
        assertTrue(accepted > 5 * SEEDS, "runs with few jobs prove little: " + accepted);
    }

    @Test
    public void foldThatAcceptsRecordsOfLostLeasesIsCaught() {
        for (long seed = 0; seed < MAX_SEEDS_TO_CATCH; seed++) {
            JobSimulation world = new JobSimulation(seed, new JobPolicy(false));
            world.run(STEPS);
            if (!world.violation().isEmpty()) {
                return;
            }
        }
        throw new AssertionError("no seed shows that fences are not checked");
    }
}
