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
        assertFalse(mHistory.isBreakdown());
        fail(1);
        assertTrue(mHistory.isBreakdown());
    }

    @Test
    public void goodAnswerBetweenFailuresEndsTheRun() {
        fail(2);
        mHistory.add(false);
        fail(2);
        assertFalse(mHistory.isBreakdown());
    }

    @Test
    public void firstFailureLowersTheLimitAtOnceAndFurtherOnesOnceASecond() {
        fail(1);
        assertTrue(mHistory.lowersLimit(LIMIT, 0));
        fail(1);
        assertFalse(mHistory.lowersLimit(LIMIT, SECOND - 1));
        assertTrue(mHistory.lowersLimit(LIMIT, SECOND));
    }

    @Test
    public void failuresThatALowerLimitDoesNotHelpAreBorne() {
        everySecond(100);
        assertTrue(mHistory.lowersLimit(LIMIT, 0));
        everySecond(100);
        assertTrue(mHistory.lowersLimit(LIMIT, SECOND));
        assertFalse(mHistory.allowsRise());
        everySecond(100);
        assertFalse(mHistory.lowersLimit(LIMIT / 2, 2 * SECOND));
        assertTrue(mHistory.allowsRise());
        fail(3);
        assertFalse(mHistory.isBreakdown());
        fail(60);
        assertTrue(mHistory.lowersLimit(LIMIT / 2, 3 * SECOND));
        assertTrue(mHistory.isBreakdown());
    }

    @Test
    public void failuresThatALowerLimitHelpsLowerItFurther() {
        everySecond(100);
        mHistory.lowersLimit(LIMIT, 0);
        everySecond(100);
        mHistory.lowersLimit(LIMIT, SECOND);
        for (int i = 0; i < 60; i++) {
            mHistory.add(i % 5 == 0);
        }
        assertTrue(mHistory.lowersLimit(LIMIT / 2, 2 * SECOND));
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
