package org.boragethread.core.stage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests {@link LateShare}. */
public class LateShareTest {

    private static final long SECOND = 1_000_000_000;

    // Guards against late stages that are rejected after a burst because of the share during it.
    @Test
    public void shareIsWholeAgainWithoutCompetition() {
        LateShare share = new LateShare();
        share.update(true, SECOND);
        share.onSent(20, false);
        share.update(true, 2 * SECOND);
        assertTrue(share.get() < 0.5, "during the burst: " + share.get());
        share.update(false, 3 * SECOND);
        assertEquals(share.get(), 1.0);
    }

    // Guards against stages that are accepted because of a share that late stages do not get.
    @Test
    public void shareUnderCompetitionIsTheObservedOne() {
        LateShare share = new LateShare();
        share.update(true, SECOND);
        share.onSent(99, false);
        assertEquals(share.get(), 0.01, 0.001);
    }

    // Guards against a third of the work that is promised where calls are slow and all are others'.
    @Test
    public void shareOfASlowGroupIsSmallWithoutLateWork() {
        LateShare share = new LateShare();
        for (int second = 1; second <= 5; second++) {
            share.update(true, second * SECOND);
            share.onSent(1, false);
            assertTrue(share.get() < 0.2, "after %d s: %s".formatted(second, share.get()));
        }
    }

    // Guards against late stages that are rejected because of a single piece that preceded them.
    @Test
    public void lessThanACallIsNoObservation() {
        LateShare share = new LateShare();
        share.update(true, SECOND);
        share.onSent(0.2, false);
        assertEquals(share.get(), 1.0);
    }

    // Guards against a share that is not a number if the clock, which may be negative, starts.
    @Test
    public void shareIsWholeAtFirst() {
        LateShare share = new LateShare();
        share.update(false, -SECOND * 10_000);
        assertEquals(share.get(), 1.0);
    }
}
