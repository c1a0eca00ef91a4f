package org.boragethread.core.claim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.Collectors;
import org.boragethread.model.outcome.Ran;
import org.testng.annotations.Test;

/** Runs claims through seeded pauses, deaths, restarts and log faults. */
public class ClaimRunsTest {

    private static final int SEEDS = 300;
    private static final int MAX_SEEDS_TO_CATCH = 1_000;
    private static final int STEPS = 150;

    @Test
    public void noClaimRunsTwiceAndEveryNotRunIsTrue() {
        int effects = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            ClaimWorld world = run(seed, ClaimWorld.Rules.RIGHT);
            assertEquals(world.violation(), "", "seed " + seed);
            effects += world.effects();
        }
        assertTrue(effects > SEEDS, "runs with few effects prove little: " + effects);
    }

    @Test
    public void everyKeyIsAnsweredOnceFaultsEnd() {
        for (long seed = 0; seed < SEEDS; seed++) {
            ClaimWorld world = run(seed, ClaimWorld.Rules.RIGHT);
            assertEquals(world.lastAnswers().size(), ClaimWorld.KEYS, "seed " + seed);
            for (Ran ran : world.lastAnswers().values()) {
                assertNotEquals(ran, Ran.NO, "seed " + seed);
            }
        }
    }

    @Test
    public void allEntriesFoldTheSameState() {
        ClaimWorld world = run(1, ClaimWorld.Rules.RIGHT);
        List<List<Integer>> sizes =
                world.entries().stream()
                        .map(e -> e.service().table())
                        .map(table -> List.of(table.size(), table.openClaims()))
                        .collect(Collectors.toList());
        assertEquals(sizes.stream().distinct().count(), 1L, sizes.toString());
    }

    @Test
    public void foldThatLetsLaterClaimsHoldIsCaught() {
        ClaimPolicy wrong = new ClaimPolicy(false, true);
        assertCaught(new ClaimWorld.Rules(wrong, false, false));
    }

    @Test
    public void releaseThatDoesNotNameItsHandoverIsCaught() {
        ClaimPolicy wrong = new ClaimPolicy(true, false);
        assertCaught(new ClaimWorld.Rules(wrong, false, false));
    }

    @Test
    public void agentThatDoesNotFenceIsCaught() {
        assertCaught(new ClaimWorld.Rules(ClaimPolicy.STRICT, true, false));
    }

    @Test
    public void callToARestartedAgentIsCaught() {
        assertCaught(new ClaimWorld.Rules(ClaimPolicy.STRICT, false, true));
    }

    private static void assertCaught(ClaimWorld.Rules rules) {
        for (long seed = 0; seed < MAX_SEEDS_TO_CATCH; seed++) {
            if (!run(seed, rules).violation().isEmpty()) {
                return;
            }
        }
        throw new AssertionError("no seed shows the fault of " + rules);
    }

    private static ClaimWorld run(long seed, ClaimWorld.Rules rules) {
        ClaimWorld world = new ClaimWorld(seed, rules);
        world.runFaults(STEPS);
        world.heal();
        return world;
    }
}
