package org.boragethread.core.claim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.Collectors;
import org.boragethread.model.outcome.ExecutionStatus;
import org.testng.annotations.Test;

/**
 * Runs the claim protocol in {@link ClaimSimulation} under random pauses, crashes, restarts and log
 * faults, and checks that the simulation detects deliberately introduced bugs.
 */
public class ClaimSimulationTest {

    private static final int SEEDS = 300;
    private static final int MAX_SEEDS_UNTIL_VIOLATION = 1_000;
    private static final int STEPS = 150;

    @Test
    public void noClaimRunsTwiceAndEveryNotRunAnswerIsTrue() {
        int effects = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            ClaimSimulation simulation = run(seed, ClaimSimulation.InjectedBugs.NONE);
            assertEquals(simulation.violation(), "", "seed " + seed);
            effects += simulation.effects();
        }
        assertTrue(effects > SEEDS, "too few calls ran to be meaningful: " + effects);
    }

    @Test
    public void everyKeyIsAnsweredOnceFaultsEnd() {
        for (long seed = 0; seed < SEEDS; seed++) {
            ClaimSimulation simulation = run(seed, ClaimSimulation.InjectedBugs.NONE);
            assertEquals(simulation.lastAnswers().size(), ClaimSimulation.KEYS, "seed " + seed);
            for (ExecutionStatus ran : simulation.lastAnswers().values()) {
                assertNotEquals(ran, ExecutionStatus.NO, "seed " + seed);
            }
        }
    }

    @Test
    public void allEntriesReachTheSameState() {
        ClaimSimulation simulation = run(1, ClaimSimulation.InjectedBugs.NONE);
        List<List<Integer>> sizes =
                simulation.entries().stream()
                        .map(e -> e.service().table())
                        .map(table -> List.of(table.size(), table.openClaims()))
                        .collect(Collectors.toList());
        assertEquals(sizes.stream().distinct().count(), 1L, sizes.toString());
    }

    @Test
    public void laterClaimThatWinsIsDetected() {
        ClaimPolicy broken = new ClaimPolicy(false, true);
        assertViolationFound(new ClaimSimulation.InjectedBugs(broken, false, false));
    }

    @Test
    public void releaseThatIgnoresHandoversIsDetected() {
        ClaimPolicy broken = new ClaimPolicy(true, false);
        assertViolationFound(new ClaimSimulation.InjectedBugs(broken, false, false));
    }

    @Test
    public void agentThatDoesNotFenceIsDetected() {
        assertViolationFound(new ClaimSimulation.InjectedBugs(ClaimPolicy.STRICT, true, false));
    }

    @Test
    public void callToARestartedAgentIsDetected() {
        assertViolationFound(new ClaimSimulation.InjectedBugs(ClaimPolicy.STRICT, false, true));
    }

    private static void assertViolationFound(ClaimSimulation.InjectedBugs bugs) {
        for (long seed = 0; seed < MAX_SEEDS_UNTIL_VIOLATION; seed++) {
            if (!run(seed, bugs).violation().isEmpty()) {
                return;
            }
        }
        throw new AssertionError("no seed detects the bug " + bugs);
    }

    private static ClaimSimulation run(long seed, ClaimSimulation.InjectedBugs bugs) {
        ClaimSimulation simulation = new ClaimSimulation(seed, bugs);
        simulation.runFaults(STEPS);
        simulation.endFaultsAndRepeatKeys();
        return simulation;
    }
}
