package org.boragethread.core.follow;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.SplittableRandom;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.time.TimeSource;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link FreshnessLease}. */
public class FreshnessLeaseTest {

    private static final Duration LENGTH = Duration.ofMillis(4700);

    @Test
    public void leaseThatWasNeverRenewedIsNotHeld() {
        assertFalse(new FreshnessLease(new ManualTimeSource(), LENGTH).isHeld());
    }

    @Test
    public void leaseExpiresAfterItsLength() {
        ManualTimeSource time = new ManualTimeSource();
        FreshnessLease lease = new FreshnessLease(time, LENGTH);
        lease.renew(ClockReading.now(time));
        time.advance(LENGTH.minusMillis(1));
        assertTrue(lease.isHeld());
        time.advance(Duration.ofMillis(1));
        assertFalse(lease.isHeld());
    }

    @Test
    public void suspensionThatTheMonotonicClockMissesEndsTheLease() {
        FakeClocks time = new FakeClocks();
        FreshnessLease lease = new FreshnessLease(time, LENGTH);
        lease.renew(ClockReading.now(time));
        time.mMillis += 6000;
        assertFalse(lease.isHeld());
    }

    @Test
    public void wallClockThatJumpsBackDoesNotProlongTheLease() {
        FakeClocks time = new FakeClocks();
        FreshnessLease lease = new FreshnessLease(time, LENGTH);
        lease.renew(ClockReading.now(time));
        time.mMillis -= 60_000;
        time.mNanos += LENGTH.toNanos();
        assertFalse(lease.isHeld());
    }

    @DataProvider
    public Object[][] seeds() {
        Object[][] seeds = new Object[50][];
        for (int i = 0; i < seeds.length; i++) {
            seeds[i] = new Object[] {(long) i};
        }
        return seeds;
    }

    @Test(dataProvider = "seeds")
    public void leaseIsNeverHeldLongerThanEitherClockAllows(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        FakeClocks time = new FakeClocks();
        FreshnessLease lease = new FreshnessLease(time, LENGTH);
        lease.renew(ClockReading.now(time));
        long monotonicMillis = 0;
        long wallClockMillis = 0;
        for (int i = 0; i < 200; i++) {
            long step = random.nextLong(200);
            long jump = random.nextInt(20) == 0 ? random.nextLong(-3000, 3000) : 0;
            monotonicMillis += step;
            wallClockMillis += step + jump;
            time.mNanos += step * 1_000_000;
            time.mMillis += step + jump;
            if (monotonicMillis >= LENGTH.toMillis() || wallClockMillis >= LENGTH.toMillis()) {
                assertFalse(lease.isHeld(), "seed " + seed);
            }
        }
    }

    /** A monotonic and a wall clock that can be set independently. */
    private static final class FakeClocks implements TimeSource {

        private long mNanos;
        private long mMillis = 1_000_000;

        @Override
        public long nanoTime() {
            return mNanos;
        }

        @Override
        public Instant instant() {
            return Instant.ofEpochMilli(mMillis);
        }
    }
}
