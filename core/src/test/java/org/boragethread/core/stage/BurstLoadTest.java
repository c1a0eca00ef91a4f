package org.boragethread.core.stage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.function.Supplier;
import org.testng.annotations.Test;

/**
 * Tests a burst of 2.4 times the usual rate of requests with large results, as it was seen on the
 * heaviest day of a deployment: 18 requests a second usually, 70 % with 2.5 pieces of 3 MB on
 * average and up to 10, beside 24 requests a second of lower priority with one piece of 8 KB; four
 * upstreams with 40 MB, 150 ms a call and 16 ms a piece; results are held for 0.7 s.
 */
public class BurstLoadTest {

    private static final int SEEDS = 12;

    /**
     * One batch in eight is led by the stage that has waited longest, whatever its priority
     * (docs/design/stage-admission.md).
     */
    private static final double TURNS_PER_CALL = 1 / 8.0;

    private static Map<String, BurstLoad.Outcomes> run(
            Supplier<StagePolicy> policies, boolean gapIsDeadline) {
        Map<String, BurstLoad.Outcomes> outcomes = BurstLoad.newOutcomes();
        for (int seed = 1; seed <= SEEDS; seed++) {
            new BurstLoad(policies.get(), gapIsDeadline, seed, outcomes).run();
        }
        outcomes.forEach((name, outcome) -> System.out.println(name + ": " + outcome));
        return outcomes;
    }

    private static StagePolicy sharedPolicy() {
        return new SharedStagePolicy(new IgnoringObserver());
    }

    /**
     * Guards against large results that are passed by small ones until their callers give up: with
     * the local policy a third of those with 6 to 10 pieces were cancelled. What cannot be done is
     * refused before the caller gives up.
     */
    @Test
    public void noKindSizeOrTeamIsStarved() {
        Map<String, BurstLoad.Outcomes> outcomes = run(BurstLoadTest::sharedPolicy, true);
        outcomes.forEach(
                (name, outcome) -> {
                    String kind = name.split(" ")[0];
                    double least = outcomes.get(kind).servedShare() / 2;
                    assertTrue(outcome.servedShare() >= least, name + ": " + outcome);
                    assertEquals(outcome.cancelled(), 0, name + ": " + outcome);
                });
    }

    /**
     * Guards against a kind of which nothing is served during the burst. The stages of a kind that
     * all others pass have waited longest, so each turn serves at least one of them.
     */
    @Test
    public void eachKindIsServedByTheTurnsAtLeast() {
        Map<String, BurstLoad.Outcomes> outcomes = run(BurstLoadTest::sharedPolicy, true);
        double turnsPerSecond = BurstLoad.callsPerSecond() * TURNS_PER_CALL;
        for (BurstLoad.Kind kind : BurstLoad.Kind.values()) {
            double least = turnsPerSecond / kind.burstRate();
            double served = outcomes.get(kind.duringBurst()).servedShare();
            assertTrue(served >= least, kind + ": " + served + " served, least " + least);
        }
    }

    /** Guards against a policy that serves fewer requests than the one that ignores sizes. */
    @Test
    public void mostRequestsWithLargeResultsAreServed() {
        String largest = BurstLoad.Kind.LARGE + " with 6 to 10 pieces";
        double local = run(LocalStagePolicy::new, false).get(largest).servedShare();
        double shared = run(BurstLoadTest::sharedPolicy, true).get(largest).servedShare();
        assertTrue(shared > local, shared + " served, " + local + " with the local policy");
    }
}
