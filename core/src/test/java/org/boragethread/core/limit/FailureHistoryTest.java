package org.boragethread.core.limit;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link FailureHistory}. */
public class FailureHistoryTest {

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
        mHistory.add(false, false);
        fail(2);
        assertFalse(mHistory.isBreakdown());
    }

    @Test
    public void failuresThatComeAtAnyLoadAreUsual() {
        for (int i = 0; i < 200; i++) {
            mHistory.add(i % 2 == 0, true);
        }
        assertFalse(mHistory.isMoreThanUsual());
        fail(3);
        assertFalse(mHistory.isBreakdown());
        fail(10);
        assertTrue(mHistory.isMoreThanUsual());
        assertTrue(mHistory.isBreakdown());
    }

    private void fail(int calls) {
        for (int i = 0; i < calls; i++) {
            mHistory.add(true, false);
        }
    }
}
