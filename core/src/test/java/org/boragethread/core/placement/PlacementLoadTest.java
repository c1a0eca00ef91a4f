package org.boragethread.core.placement;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Locale;
import org.boragethread.core.placement.PlacementSimulation.Case;
import org.boragethread.core.placement.PlacementSimulation.Result;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Compares shared placement with blind choice and with one shared queue. */
public class PlacementLoadTest {

    /** Goal for the 95th percentile, as a multiple of that of one shared queue. */
    private static final double MAX_RELATIVE_P95 = 1.6;

    private static final int[] DELAYS = {0, 1, 5, 20, 100, 500};
    private static final int MAX_GOAL_DELAY = 5;

    @DataProvider
    public Object[][] cases() {
        return new Object[][] {
            {new Case(3, 3, false, false, 8000)},
            {new Case(3, 8, true, true, 8000)},
            {new Case(8, 5, false, false, 8000)},
            {new Case(8, 5, false, true, 8000)},
            {new Case(8, 5, true, true, 8000)},
            {new Case(9, 27, true, true, 10_000)},
            {new Case(120, 60, false, true, 20_000)},
            {new Case(1200, 96, false, true, 20_000)},
            {new Case(1200, 96, true, true, 20_000)},
        };
    }

    // Guards against a placement that is not better than the choice of entries by themselves: of
    // 623 urgent requests on the heaviest day of deployment S, 132 were late, because each entry
    // knew only its own load.
    @Test(dataProvider = "cases")
    public void firstEventsComeNearlyAsSoonAsWithOneQueue(Case simulated) {
        Result shared = new PlacementSimulation(simulated).sharedQueue();
        log(simulated, "one queue", shared, shared);
        log(simulated, "blind", new PlacementSimulation(simulated).blind(), shared);
        for (int delay : DELAYS) {
            Duration oneWay = Duration.ofMillis(delay);
            Result result = new PlacementSimulation(simulated).coordinated(oneWay);
            log(simulated, "delay " + delay, result, shared);
            if (delay <= MAX_GOAL_DELAY) {
                assertTrue(
                        result.p95() < MAX_RELATIVE_P95 * shared.p95(),
                        simulated + ", delay " + delay + ": " + result + " against " + shared);
            }
        }
    }

    private static void log(Case simulated, String name, Result result, Result shared) {
        System.out.printf(
                Locale.ROOT,
                "%s %-9s: %s (%.2f of one queue)%n",
                simulated,
                name,
                result,
                result.p95() / shared.p95());
    }
}
