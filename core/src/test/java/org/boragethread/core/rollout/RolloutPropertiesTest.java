package org.boragethread.core.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the bounds of roll-outs over entries and a store that fail at random. */
public class RolloutPropertiesTest {

    private static final int REQUESTS_PER_STEP = 20;
    private static final double BAD_SHARE = 0.5;

    @DataProvider
    public Object[][] deployments() {
        int[] sizes = {1, 2, 3, 9, 33, 80, 1200};
        Object[][] deployments = new Object[13][];
        for (int i = 0; i < deployments.length; i++) {
            deployments[i] = new Object[] {sizes[i % sizes.length], (long) i};
        }
        return deployments;
    }

    private static RolloutSimulation simulation(int entries, double badShare, long seed) {
        // About the same number of faults whatever the number of entries, at least one per entry.
        int faultRate = Math.min(400, 60 * entries);
        int requests = Math.max(REQUESTS_PER_STEP, entries / 2);
        return new RolloutSimulation(entries, requests, badShare, faultRate, seed);
    }

    /** Guards against uses of the target version that no budget counts, or that count twice. */
    @Test(dataProvider = "deployments")
    public void badVersionGetsNoMoreThanItsShareOverAllEntries(int entries, long seed) {
        RolloutSimulation simulation = simulation(entries, BAD_SHARE, seed);
        simulation.runOrder();
        assertTrue(
                simulation.trialsOverShare() < 1e-6,
                "%.1f sends over the share".formatted(simulation.trialsOverShare()));
        assertEquals(simulation.recordedPhase(), Optional.of(RolloutPhase.ROLLED_BACK));
    }

    /**
     * Guards against a terminal state that another one of the same order replaces, also if the
     * order is removed while its switch or end is being recorded.
     */
    @Test(dataProvider = "deployments")
    public void everyOrderHasOneOutcome(int entries, long seed) {
        RolloutSimulation simulation = simulation(entries, seed % 4 == 3 ? 0.2 : 0, seed);
        if (seed % 2 == 0) {
            simulation.run(Duration.ofMillis(24_000 + 500 * seed));
            simulation.removeOrder();
        }
        simulation.runOrder();
        assertEquals(simulation.reversals(), 0, "terminal states that were replaced");
        // A single entry may be restarted too often to begin the order before it is removed.
        long orders = simulation.recordedPhase().stream().count();
        assertEquals(simulation.outcomes().size(), orders, "orders that ended");
        for (Set<RolloutPhase> phases : simulation.outcomes().values()) {
            assertEquals(phases.size(), 1, "phases in which an order ended");
        }
        assertTrue(simulation.recordedPhase().map(RolloutPhase::isEnded).orElse(entries == 1));
    }

    /** Guards against an old version that stops while requests are in flight there. */
    @Test(dataProvider = "deployments")
    public void completedMeansThatNoRequestIsInFlightAtTheOldVersion(int entries, long seed) {
        RolloutSimulation simulation = simulation(entries, 0, seed);
        simulation.runOrder();
        assertEquals(simulation.recordedPhase(), Optional.of(RolloutPhase.COMPLETED));
        assertEquals(simulation.oldInFlightAtEnd(), 0);
    }

    /** Guards against an order that begins or is decided again after its end was lost. */
    @Test(dataProvider = "deployments")
    public void outcomeOutlivesTheRestoreOfAnOlderCopy(int entries, long seed) {
        RolloutSimulation simulation =
                new RolloutSimulation(entries, REQUESTS_PER_STEP, seed % 2 * BAD_SHARE, 0, seed);
        for (int i = 0; i < 8; i++) {
            simulation.run(Duration.ofSeconds(8));
            simulation.restoreStore();
        }
        simulation.run(Duration.ofSeconds(30));
        assertEquals(simulation.outcomes().size(), 1, "orders that ended");
        for (Set<RolloutPhase> phases : simulation.outcomes().values()) {
            assertEquals(phases.size(), 1, "phases in which an order ended");
        }
        assertTrue(simulation.recordedPhase().orElseThrow().isEnded());
    }
}
