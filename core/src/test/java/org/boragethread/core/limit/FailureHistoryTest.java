package org.boragethread.core.limit;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link FailureHistory}. */
public class FailureHistoryTest {

    private static final int LIMIT = 12;
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

    private FailureHistory mHistory;

    @BeforeMethod
    public void createHistory() {
        mHistory = new FailureHistory();
    }

    @Test
    public void threeConsecutiveFailuresOfAHealthyUpstreamAreAnOutage() {
        fail(2);
        assertFalse(mHistory.isOutage());
        fail(1);
        assertTrue(mHistory.isOutage());
    }

    @Test
    public void successBetweenFailuresRestartsTheCount() {
        fail(2);
        mHistory.add(false);
        fail(2);
        assertFalse(mHistory.isOutage());
    }

    @Test
    public void firstFailureLowersTheLimitAtOnceAndLaterOnesOncePerSecond() {
        fail(1);
        assertTrue(mHistory.shouldLowerLimit(LIMIT, 0));
        fail(1);
        assertFalse(mHistory.shouldLowerLimit(LIMIT, SECOND_NANOS - 1));
        assertTrue(mHistory.shouldLowerLimit(LIMIT, SECOND_NANOS));
    }

    @Test
    public void failuresThatALowerLimitDoesNotReduceAreTolerated() {
        failEverySecondCall(100);
        assertTrue(mHistory.shouldLowerLimit(LIMIT, 0));
        failEverySecondCall(100);
        assertTrue(mHistory.shouldLowerLimit(LIMIT, SECOND_NANOS));
        assertFalse(mHistory.allowsIncrease());
        failEverySecondCall(100);
        assertFalse(mHistory.shouldLowerLimit(LIMIT / 2, 2 * SECOND_NANOS));
        assertTrue(mHistory.allowsIncrease());
        fail(3);
        assertFalse(mHistory.isOutage());
        fail(60);
        assertTrue(mHistory.shouldLowerLimit(LIMIT / 2, 3 * SECOND_NANOS));
        assertTrue(mHistory.isOutage());
    }

    @Test
    public void failuresThatALowerLimitReducesLowerItFurther() {
        failEverySecondCall(100);
        mHistory.shouldLowerLimit(LIMIT, 0);
        failEverySecondCall(100);
        mHistory.shouldLowerLimit(LIMIT, SECOND_NANOS);
        for (int i = 0; i < 60; i++) {
            mHistory.add(i % 5 == 0);
        }
        assertTrue(mHistory.shouldLowerLimit(LIMIT / 2, 2 * SECOND_NANOS));
    }

    private void failEverySecondCall(int calls) {
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
