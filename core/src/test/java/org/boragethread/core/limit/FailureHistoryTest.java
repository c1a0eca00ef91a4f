package org.boragethread.core.limit;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link FailureHistory}. */
public class FailureHistoryTest {

    private static final int LIMIT = 12;
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private FailureHistory mHistory;

    @BeforeMethod
    public void makeHistory() {
        mHistory = new FailureHistory();
    }

    @Test
    public void threeFailuresInARowOfASoundUpstreamAreABreakdown() {
        fail(2);
        assertFalse(mHistory.isOutage());
        fail(1);
        assertTrue(mHistory.isOutage());
    }

    @Test
    public void goodAnswerBetweenFailuresEndsTheRun() {
        fail(2);
        mHistory.add(false);
        fail(2);
        assertFalse(mHistory.isOutage());
    }

    @Test
    public void firstFailureLowersTheLimitAtOnceAndFurtherOnesOnceASecond() {
        fail(1);
        assertTrue(mHistory.shouldLowerLimit(LIMIT, 0));
        fail(1);
        assertFalse(mHistory.shouldLowerLimit(LIMIT, SECOND - 1));
        assertTrue(mHistory.shouldLowerLimit(LIMIT, SECOND));
    }

    @Test
    public void failuresThatALowerLimitDoesNotHelpAreBorne() {
        everySecond(100);
        assertTrue(mHistory.shouldLowerLimit(LIMIT, 0));
        everySecond(100);
        assertTrue(mHistory.shouldLowerLimit(LIMIT, SECOND));
        assertFalse(mHistory.allowsIncrease());
        everySecond(100);
        assertFalse(mHistory.shouldLowerLimit(LIMIT / 2, 2 * SECOND));
        assertTrue(mHistory.allowsIncrease());
        fail(3);
        assertFalse(mHistory.isOutage());
        fail(60);
        assertTrue(mHistory.shouldLowerLimit(LIMIT / 2, 3 * SECOND));
        assertTrue(mHistory.isOutage());
    }

    @Test
    public void failuresThatALowerLimitHelpsLowerItFurther() {
        everySecond(100);
        mHistory.shouldLowerLimit(LIMIT, 0);
        everySecond(100);
        mHistory.shouldLowerLimit(LIMIT, SECOND);
        for (int i = 0; i < 60; i++) {
            mHistory.add(i % 5 == 0);
        }
        assertTrue(mHistory.shouldLowerLimit(LIMIT / 2, 2 * SECOND));
    }

    private void everySecond(int calls) {
        for (int i = 0; i < calls; i++) {
            mHistory.add(i % 2 == 0);
        }
    }

    private void fail(int calls) {
        for (int i = 0; i < calls; i++) {
            mHistory.add(true);
        }
    }
}
