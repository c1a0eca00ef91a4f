package org.boragethread.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.boragethread.model.routing.EngineLimits;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what is learned from requests that end without a first event. */
public class EngineLoadTest {

    private static final long MILLI = 1_000_000;
    private static final EngineLimits LIMITS = new EngineLimits(4, 100_000);

    private EngineLoad mEngine;

    @BeforeMethod
    public void start() {
        mEngine = new EngineLoad(PlacementSimulation.status(0));
    }

    private PlacedRequest add(int number) {
        PlacementRequest request =
                PlacementRequest.builder(new PlacementKey("e", "r" + number, number))
                        .tokens(1000, 100)
                        .firstEventBy(1000 * MILLI, 1000 * MILLI)
                        .expiry(5000 * MILLI)
                        .build();
        PlacedRequest placed = new PlacedRequest(request, mEngine, 100, 1000, 0, number);
        mEngine.add(placed, LIMITS);
        return placed;
    }

    // Guards against an engine that hangs and is chosen first because it looks idle.
    @Test
    public void overduePromptMakesEngineSlow() {
        mEngine.remove(add(1), 1000 * MILLI);
        assertTrue(mEngine.slowness(1000 * MILLI) > 4, "" + mEngine.slowness(1000 * MILLI));
    }

    // Guards against engines that look slow because an entry was killed.
    @Test
    public void withdrawnPromptTeachesNothing() {
        mEngine.withdraw(add(1), 1000 * MILLI);
        assertEquals(mEngine.slowness(1000 * MILLI), 1.0);
    }

    @Test
    public void promptThatEndsEarlyTeachesNothing() {
        mEngine.remove(add(1), 100 * MILLI);
        assertEquals(mEngine.slowness(100 * MILLI), 1.0);
    }

    // Guards against engines that look slow because a whole response is taken for a prompt.
    @Test
    public void bufferedResponseIsNoPromptWork() {
        PlacedRequest placed = add(1);
        mEngine.endPrompt(placed, 100 * MILLI);
        assertEquals(mEngine.remainingMillis(100 * MILLI, 0), 0.0);
        mEngine.remove(placed, 5000 * MILLI);
        assertEquals(mEngine.slowness(5000 * MILLI), 1.0);
    }

    // Guards against single failures that add up over hours.
    @Test
    public void completedResponseEndsRowOfFailures() {
        mEngine.onFailure(add(1).request().key(), PlacementFailure.FAILED, 1);
        mEngine.onSuccess();
        mEngine.onFailure(add(2).request().key(), PlacementFailure.FAILED, 2);
        assertFalse(mEngine.isAvoided(3));
        mEngine.onFailure(add(3).request().key(), PlacementFailure.FAILED, 3);
        assertTrue(mEngine.isAvoided(4));
    }
}
