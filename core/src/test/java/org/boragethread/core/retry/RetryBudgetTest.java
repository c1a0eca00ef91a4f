package org.boragethread.core.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import org.boragethread.core.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link RetryBudget}. */
public class RetryBudgetTest {

    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final int STEPS = 20_000;

    private ManualTimeSource mTime;
    private RetryBudget mBudget;

    @BeforeMethod
    public void createBudget() {
        mTime = new ManualTimeSource();
        mBudget = new RetryBudget(mTime);
    }

    @Test
    public void oneExtraCallIsAllowedWithoutFirstCalls() {
        assertTrue(mBudget.tryAcquire(ExtraAttemptKind.EXTRA_CALL));
        assertFalse(mBudget.tryAcquire(ExtraAttemptKind.EXTRA_CALL));
    }

    @Test
    public void extraCallsAreATenthOfFirstCalls() {
        for (int i = 0; i < 1000; i++) {
            mBudget.recordFirstCall();
        }
        int taken = 0;
        while (taken <= 1000 && mBudget.tryAcquire(ExtraAttemptKind.EXTRA_CALL)) {
            taken++;
        }
        assertEquals(taken, 100);
    }

    @Test
    public void redirectsDoNotUseUpExtraCalls() {
        for (int i = 0; i < 10; i++) {
            assertTrue(mBudget.tryAcquire(ExtraAttemptKind.REDIRECT));
        }
        assertFalse(mBudget.tryAcquire(ExtraAttemptKind.REDIRECT));
        assertTrue(mBudget.tryAcquire(ExtraAttemptKind.EXTRA_CALL));
    }

    @Test
    public void firstCallsOutsideTheWindowAreNotCounted() {
        for (int i = 0; i < 1000; i++) {
            mBudget.recordFirstCall();
        }
        mTime.advance(WINDOW);
        assertTrue(mBudget.tryAcquire(ExtraAttemptKind.EXTRA_CALL));
        assertFalse(mBudget.tryAcquire(ExtraAttemptKind.EXTRA_CALL));
    }

    @Test
    public void ratioHoldsForEveryGrantOverARandomHistory() {
        SplittableRandom random = new SplittableRandom(11);
        Deque<Long> firsts = new ArrayDeque<>();
        Deque<Long> extras = new ArrayDeque<>();
        int totalFirsts = 0;
        int totalExtras = 0;
        for (int i = 0; i < STEPS; i++) {
            mTime.advance(Duration.ofMillis(random.nextInt(40)));
            long now = mTime.nanoTime();
            if (random.nextBoolean()) {
                mBudget.recordFirstCall();
                firsts.add(now);
                totalFirsts++;
            } else if (mBudget.tryAcquire(ExtraAttemptKind.EXTRA_CALL)) {
                extras.add(now);
                totalExtras++;
                // The budget counts by slots, so its window is up to one slot shorter than WINDOW.
                removeBefore(firsts, now - WINDOW.toNanos());
                removeBefore(extras, now - WINDOW.toNanos() * 9 / 10);
                assertTrue(extras.size() <= Math.max(1, firsts.size() * RetryBudget.DEFAULT_RATIO));
            }
        }
        assertTrue(totalExtras <= totalFirsts * RetryBudget.DEFAULT_RATIO, "extras " + totalExtras);
        assertTrue(
                totalExtras >= totalFirsts * RetryBudget.DEFAULT_RATIO * 0.8,
                "extras " + totalExtras);
    }

    private static void removeBefore(Deque<Long> times, long limit) {
        while (!times.isEmpty() && times.peek() <= limit) {
            times.remove();
        }
    }
}
