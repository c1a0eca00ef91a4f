package org.boragethread.core.claim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.Collectors;
import org.boragethread.model.outcome.Ran;
import org.testng.annotations.Test;

/** Runs claims through seeded pauses, deaths, restarts and log faults. */
public class ClaimSimulationTest {

    private static final int SEEDS = 300;
    private static final int MAX_SEEDS_UNTIL_VIOLATION = 1_000;
    private static final int STEPS = 150;

    @Test
    public void noClaimRunsTwiceAndEveryNotRunAnswerIsTrue() {
        int effects = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            ClaimSimulation world = run(seed, ClaimSimulation.InjectedBugs.NONE);
            assertEquals(world.violation(), "", "seed " + seed);
            effects += world.effects();
        }
        assertTrue(effects > SEEDS, "runs with few effects prove little: " + effects);
    }

    @Test
    public void everyKeyIsAnsweredOnceFaultsEnd() {
        for (long seed = 0; seed < SEEDS; seed++) {
            ClaimSimulation world = run(seed, ClaimSimulation.InjectedBugs.NONE);
            assertEquals(world.lastAnswers().size(), ClaimSimulation.KEYS, "seed " + seed);
            for (Ran ran : world.lastAnswers().values()) {
                assertNotEquals(ran, Ran.NO, "seed " + seed);
            }
        }
    }

    @Test
    public void allEntriesReachTheSameState() {
        ClaimSimulation world = run(1, ClaimSimulation.InjectedBugs.NONE);
        List<List<Integer>> sizes =
                world.entries().stream()
                        .map(e -> e.service().table())
                        .map(table -> List.of(table.size(), table.openClaims()))
                        .collect(Collectors.toList());
        assertEquals(sizes.stream().distinct().count(), 1L, sizes.toString());
    }

    @Test
    public void laterClaimThatWinsIsDetected() {
        ClaimPolicy wrong = new ClaimPolicy(false, true);
        assertViolationFound(new ClaimSimulation.InjectedBugs(wrong, false, false));
    }

    @Test
    public void releaseThatIgnoresHandoversIsDetected() {
        ClaimPolicy wrong = new ClaimPolicy(true, false);
        assertViolationFound(new ClaimSimulation.InjectedBugs(wrong, false, false));
    }

    @Test
    public void agentThatDoesNotFenceIsDetected() {
        assertViolationFound(new ClaimSimulation.InjectedBugs(ClaimPolicy.STRICT, true, false));
    }

    @Test
    public void callToARestartedAgentIsDetected() {
        assertViolationFound(new ClaimSimulation.InjectedBugs(ClaimPolicy.STRICT, false, true));
    }

    private static void assertViolationFound(ClaimSimulation.InjectedBugs rules) {
        for (long seed = 0; seed < MAX_SEEDS_UNTIL_VIOLATION; seed++) {
            if (!run(seed, rules).violation().isEmpty()) {
                return;
            }
        }
        throw new AssertionError("no seed shows the fault of " + rules);
    }

    private static ClaimSimulation run(long seed, ClaimSimulation.InjectedBugs rules) {
        ClaimSimulation world = new ClaimSimulation(seed, rules);
        world.runFaults(STEPS);
        world.endFaultsAndRepeatKeys();
        return world;
    }
}
