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
    private static final double SLACK = 56;

    @Test
    public void fixedPartIsSpentOnceInAWindow() {
        ManualTimeSource time = new ManualTimeSource();
        SharedRetryBudget budget = new SharedRetryBudget(time, RATIO, 5, WINDOW);
        int taken = 0;
        for (int i = 0; i < 20; i++) {
            taken += budget.tryAcquire() ? 1 : 0;
        }
        assertEquals(taken, 5);
        time.advance(Duration.ofSeconds(12));
        assertTrue(budget.tryAcquire());
    }

    @DataProvider
    public Object[][] seeds() {
        Object[][] seeds = new Object[20][];
        for (int i = 0; i < seeds.length; i++) {
            seeds[i] = new Object[] {(long) i};
        }
        return seeds;
    }

    /** Pattern: every call fails at once at all entries, under traffic that rises and falls. */
    @Test(dataProvider = "seeds")
    public void allEntriesTogetherStayWithinTheBound(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ManualTimeSource time = new ManualTimeSource();
        int entries = 10;
        SharedRetryBudget[] budgets = new SharedRetryBudget[entries];
        for (int i = 0; i < entries; i++) {
            budgets[i] = new SharedRetryBudget(time, RATIO, Math.floor(SLACK / entries), WINDOW);
        }
        Deque<Long> firsts = new ArrayDeque<>();
        Deque<Long> repeats = new ArrayDeque<>();
        for (int step = 0; step < 6000; step++) {
            SharedRetryBudget budget = budgets[random.nextInt(entries)];
            double rate = 0.1 + 0.4 * (1 + Math.sin(step / 700.0));
            if (random.nextDouble() < rate) {
                budget.recordFirstCall();
                firsts.add(time.nanoTime());
            }
            if (budget.tryAcquire()) {
                repeats.add(time.nanoTime());
            }
            time.advance(Duration.ofMillis(10));
            drop(firsts, time.nanoTime() - 2 * WINDOW.toNanos());
            drop(repeats, time.nanoTime() - WINDOW.toNanos());
            double bound = RATIO * busiest(firsts, time.nanoTime()) + SLACK;
            assertTrue(repeats.size() <= bound, repeats.size() + " repeats, bound " + bound);
        }
    }

    /** The bound counts the requests of this window or of the one before, whichever has more. */
    private static long busiest(Deque<Long> firsts, long now) {
        long edge = now - WINDOW.toNanos();
        long recent = firsts.stream().filter(at -> at > edge).count();
        return Math.max(recent, firsts.size() - recent);
    }

    private static void drop(Deque<Long> times, long before) {
        while (!times.isEmpty() && times.peek() <= before) {
            times.poll();
        }
    }
}
