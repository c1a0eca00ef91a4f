package org.boragethread.core.member;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.time.TimeSource;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link PartitionLease}. */
public class PartitionLeaseTest {

    private static final Duration LIFETIME = Duration.ofSeconds(5);
    private static final Duration WINDOW = Duration.ofSeconds(1);
    private static final int PARTITIONS = 36;

    /** Uses that all simulated entries together may make within their window. */
    private static final int SIMULATED_LIMIT = 14;

    private static final Duration SIMULATED_WINDOW = Duration.ofMillis(1200);

    private final ManualTimeSource mTime = new ManualTimeSource();

    private static Set<Integer> all() {
        Set<Integer> partitions = new HashSet<>();
        for (int i = 0; i < PARTITIONS; i++) {
            partitions.add(i);
        }
        return partitions;
    }

    private void renewFor(PartitionLease lease, Set<Integer> partitions, Duration time) {
        for (long millis = 0; millis <= time.toMillis(); millis += 500) {
            lease.renew(ClockReading.now(mTime), partitions);
            mTime.advance(Duration.ofMillis(500));
        }
    }

    @Test
    public void singleProcessHasAllUnitsOnceItHasWaitedForItsPredecessors() {
        PartitionLease lease = new PartitionLease(mTime, PARTITIONS, LIFETIME);
        renewFor(lease, all(), Duration.ofSeconds(5));
        assertEquals(lease.units("limit", 14, WINDOW), 0);
        renewFor(lease, all(), Duration.ofSeconds(1));
        assertEquals(lease.units("limit", 14, WINDOW), 14);
        assertEquals(lease.units("limit", 106, WINDOW), 106);
    }

    /** Five entries in a fixed division into ten shares used half of a limit. */
    @Test
    public void membersTogetherHaveAllUnitsOfALimit() {
        int members = 5;
        int total = 0;
        for (int member = 0; member < members; member++) {
            Set<Integer> partitions = new HashSet<>();
            for (int i = member; i < PARTITIONS; i += members) {
                partitions.add(i);
            }
            PartitionLease lease = new PartitionLease(mTime, PARTITIONS, LIFETIME);
            renewFor(lease, partitions, Duration.ofSeconds(7));
            total += lease.units("limit", 56, WINDOW);
        }
        assertEquals(total, 56);
    }

    @Test
    public void leaseThatIsNotRenewedExpiresAndThenStartsAnew() {
        PartitionLease lease = new PartitionLease(mTime, PARTITIONS, LIFETIME);
        renewFor(lease, all(), Duration.ofSeconds(7));
        mTime.advance(Duration.ofMillis(4400));
        assertTrue(lease.units("limit", 14, WINDOW) > 0);
        mTime.advance(Duration.ofMillis(200));
        assertEquals(lease.units("limit", 14, WINDOW), 0);
        lease.renew(ClockReading.now(mTime), all());
        assertEquals(lease.units("limit", 14, WINDOW), 0);
    }

    @Test
    public void releasedLeaseHasNoUnits() {
        PartitionLease lease = new PartitionLease(mTime, PARTITIONS, LIFETIME);
        renewFor(lease, all(), Duration.ofSeconds(7));
        lease.release();
        assertEquals(lease.units("limit", 14, WINDOW), 0);
    }

    @DataProvider
    public Object[][] deployments() {
        Object[][] deployments = new Object[36][];
        int[] sizes = {1, 3, 5, 33, 80, 1200};
        for (int i = 0; i < deployments.length; i++) {
            deployments[i] = new Object[] {sizes[i % sizes.length], (long) i};
        }
        return deployments;
    }

    /**
     * Entries are killed, restarted, suspended and cut off from a store that reassigns partitions
     * at any time, while each uses every unit that it may. All together stay within the limit in
     * every window.
     */
    @Test(dataProvider = "deployments")
    public void entriesTogetherStayWithinTheLimitInEveryWindow(int entries, long seed) {
        SharedLimitSimulation simulation =
                new SharedLimitSimulation(
                        entries, seed, PartitionLeaseTest::user, Duration.ZERO, true);
        simulation.run(Duration.ofSeconds(60));
        int most = simulation.mostArrivals(SIMULATED_WINDOW);
        assertTrue(
                most <= SIMULATED_LIMIT,
                "%d uses in one window, limit %d".formatted(most, SIMULATED_LIMIT));
        assertTrue(most > 0, "no entry could use the limit");
    }

    private static SharedLimitSimulation.User user(TimeSource time, PartitionLease lease) {
        Deque<Long> uses = new ArrayDeque<>();
        return () -> {
            long start = time.nanoTime() - SIMULATED_WINDOW.toNanos();
            while (!uses.isEmpty() && uses.peek() <= start) {
                uses.poll();
            }
            if (uses.size() >= lease.units("limit", SIMULATED_LIMIT, SIMULATED_WINDOW)) {
                return false;
            }
            uses.add(time.nanoTime());
            return true;
        };
    }
}
