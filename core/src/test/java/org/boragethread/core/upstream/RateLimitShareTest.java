package org.boragethread.core.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.HashSet;
import java.util.OptionalDouble;
import java.util.Set;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.member.PartitionLease;
import org.boragethread.core.member.SharedLimitSimulation;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.time.TimeSource;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link RateLimitShare}. */
public class RateLimitShareTest {

    private static final Duration COUNTED_TIME = Duration.ofSeconds(4);
    private static final double MIN_USE = 0.9;
    private static final int MEASURED_WINDOWS = 12;
    private static final Duration MAX_DELAY = Duration.ofMillis(900);
    private static final int SEEDS = Integer.getInteger("simulation.seeds", 1);

    /** Returns the calls that may arrive from all entries together within four seconds. */
    private static double allowed(double perSecond) {
        return 1.5 * perSecond * COUNTED_TIME.toSeconds() + 5;
    }

    /** An entry that sends the limited upstream as much as it may. */
    private static SharedLimitSimulation.User user(
            TimeSource time, PartitionLease lease, double perSecond) {
        RateLimitShare share = new RateLimitShare(lease, Duration.ofSeconds(3));
        UpstreamNode node = new UpstreamNode(UpstreamEntries.of("a", "group", "north"), 0);
        node.namedRateLimit().learn(OptionalDouble.of(perSecond), time.nanoTime());
        return () -> {
            if (!share.isCallAllowed(node, time.nanoTime())) {
                return false;
            }
            node.onSent(time.nanoTime());
            return true;
        };
    }

    @DataProvider
    public Object[][] deployments() {
        double[] rates = {0, 0.2, 1, 1.7, 6, 30, 1000};
        int[] sizes = {3, 33, 1200};
        Object[][] deployments = new Object[rates.length * sizes.length * SEEDS][];
        for (int i = 0; i < deployments.length; i++) {
            int size = sizes[i / rates.length % sizes.length];
            deployments[i] = new Object[] {rates[i % rates.length], size, (long) i};
        }
        return deployments;
    }

    // Guards against entries that together send more than an upstream accepts from all of them.
    @Test(dataProvider = "deployments")
    public void disturbedEntriesTogetherKeepTheLimit(double rate, int entries, long seed) {
        SharedLimitSimulation simulation =
                new SharedLimitSimulation(
                        entries, seed, (time, lease) -> user(time, lease, rate), MAX_DELAY, true);
        simulation.run(Duration.ofSeconds(60));
        int most = simulation.mostArrivals(COUNTED_TIME);
        assertTrue(most <= allowed(rate), most + " calls, allowed " + allowed(rate));
    }

    // Guards against a share of the limit that nobody uses while work waits.
    @Test(dataProvider = "deployments")
    public void undisturbedEntriesUseTheLimit(double rate, int entries, long seed) {
        double window = rate == 0 ? 5 : Math.max(5, 5 / rate);
        double start = 10 + window;
        double length = start + MEASURED_WINDOWS * window;
        SharedLimitSimulation simulation =
                new SharedLimitSimulation(
                        entries, seed, (time, lease) -> user(time, lease, rate), MAX_DELAY, false);
        simulation.run(Duration.ofMillis((long) (length * 1000)));
        double used = simulation.arrivalsFrom(start) / (length - start);
        assertTrue(used >= MIN_USE * rate, used + " calls a second of " + rate);
        assertTrue(simulation.mostArrivals(COUNTED_TIME) <= allowed(rate));
    }

    @Test
    public void oneEntrySendsAtMostTwiceItsAverageWithinASecond() {
        ManualTimeSource time = new ManualTimeSource();
        PartitionLease lease = new PartitionLease(time, 2, Duration.ofSeconds(5));
        for (int i = 0; i < 20; i++) {
            lease.renew(ClockReading.now(time), new HashSet<>(Set.of(0, 1)));
            time.advance(Duration.ofSeconds(1));
        }
        lease.renew(ClockReading.now(time), Set.of(0, 1));
        SharedLimitSimulation.User user = user(time, lease, 10);
        int calls = 0;
        while (user.tryUse()) {
            calls++;
        }
        assertEquals(calls, 20);
    }
}
