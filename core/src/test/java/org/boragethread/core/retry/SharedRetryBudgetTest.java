package org.boragethread.core.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import org.boragethread.core.time.ManualTimeSource;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link SharedRetryBudget}. */
public class SharedRetryBudgetTest {

    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final double RATIO = 0.2;
    private static final double FIXED_TOTAL = 56;

    @Test
    public void fixedPartIsAvailableOncePerWindow() {
        ManualTimeSource time = new ManualTimeSource();
        SharedRetryBudget budget = new SharedRetryBudget(time, RATIO, WINDOW, () -> 5);
        int taken = 0;
        for (int i = 0; i < 20; i++) {
            taken += budget.tryAcquire() ? 1 : 0;
        }
        assertEquals(taken, 5);
        time.advance(Duration.ofSeconds(12));
        assertTrue(budget.tryAcquire());
    }

    // Guards against a log that names other permits than the budget gives.
    @Test
    public void availableRetriesAreThoseThatCanBeTaken() {
        ManualTimeSource time = new ManualTimeSource();
        SharedRetryBudget budget = new SharedRetryBudget(time, RATIO, WINDOW, () -> 2);
        for (int calls = 0; calls < 30; calls++) {
            budget.recordFirstCall();
            long available = budget.available();
            assertEquals(budget.tryAcquire(), available > 0);
            assertEquals(budget.available(), Math.max(0, available - 1));
        }
    }

    @DataProvider
    public Object[][] seeds() {
        Object[][] seeds = new Object[20][];
        for (int i = 0; i < seeds.length; i++) {
            seeds[i] = new Object[] {(long) i};
        }
        return seeds;
    }

    /**
     * All calls at all entries fail at once, under traffic that rises and falls. All entries
     * together must stay within the shared bound.
     */
    @Test(dataProvider = "seeds")
    public void allEntriesTogetherStayWithinTheBound(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ManualTimeSource time = new ManualTimeSource();
        int entries = 10;
        SharedRetryBudget[] budgets = new SharedRetryBudget[entries];
        for (int i = 0; i < entries; i++) {
            budgets[i] =
                    new SharedRetryBudget(time, RATIO, WINDOW, () -> (int) FIXED_TOTAL / entries);
        }
        Deque<Long> firsts = new ArrayDeque<>();
        Deque<Long> retries = new ArrayDeque<>();
        for (int step = 0; step < 6000; step++) {
            SharedRetryBudget budget = budgets[random.nextInt(entries)];
            double rate = 0.1 + 0.4 * (1 + Math.sin(step / 700.0));
            if (random.nextDouble() < rate) {
                budget.recordFirstCall();
                firsts.add(time.nanoTime());
            }
            if (budget.tryAcquire()) {
                retries.add(time.nanoTime());
            }
            time.advance(Duration.ofMillis(10));
            removeBefore(firsts, time.nanoTime() - 2 * WINDOW.toNanos());
            removeBefore(retries, time.nanoTime() - WINDOW.toNanos());
            double bound = RATIO * firstCallsOfBusierWindow(firsts, time.nanoTime()) + FIXED_TOTAL;
            assertTrue(retries.size() <= bound, retries.size() + " retries, bound " + bound);
        }
    }

    /**
     * Returns the number of first calls of the current or the previous window, whichever is
     * greater; the bound is relative to it.
     */
    private static long firstCallsOfBusierWindow(Deque<Long> firsts, long now) {
        long edge = now - WINDOW.toNanos();
        long recent = firsts.stream().filter(at -> at > edge).count();
        return Math.max(recent, firsts.size() - recent);
    }

    private static void removeBefore(Deque<Long> times, long before) {
        while (!times.isEmpty() && times.peek() <= before) {
            times.poll();
        }
    }

    // Guards against refused connections that use up the retries of a group.
    @Test
    public void returnedRetryIsAvailableAgain() {
        ManualTimeSource time = new ManualTimeSource();
        SharedRetryBudget budget = new SharedRetryBudget(time, RATIO, WINDOW, () -> 1);
        long acquiredAt = time.nanoTime();
        assertTrue(budget.tryAcquire());
        time.advance(Duration.ofSeconds(2));
        budget.release(acquiredAt);
        assertEquals(budget.available(), 1);
        // The second return has no retry to return.
        budget.release(acquiredAt);
        assertTrue(budget.tryAcquire());
        assertEquals(budget.available(), 0);
    }
}
