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
    public void leaseWithoutProofIsNotHeld() {
        assertFalse(new FreshnessLease(new ManualTimeSource(), LENGTH).isHeld());
    }

    @Test
    public void leaseLapsesAfterItsLength() {
        ManualTimeSource time = new ManualTimeSource();
        FreshnessLease lease = new FreshnessLease(time, LENGTH);
        lease.renew(Moment.now(time));
        time.advance(LENGTH.minusMillis(1));
        assertTrue(lease.isHeld());
        time.advance(Duration.ofMillis(1));
        assertFalse(lease.isHeld());
    }

    @Test
    public void suspensionThatTheMonotonicClockMissesEndsTheLease() {
        SteppedTime time = new SteppedTime();
        FreshnessLease lease = new FreshnessLease(time, LENGTH);
        lease.renew(Moment.now(time));
        time.mMillis += 6000;
        assertFalse(lease.isHeld());
    }

    @Test
    public void timeOfDayThatJumpsBackDoesNotProlongTheLease() {
        SteppedTime time = new SteppedTime();
        FreshnessLease lease = new FreshnessLease(time, LENGTH);
        lease.renew(Moment.now(time));
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
        SteppedTime time = new SteppedTime();
        FreshnessLease lease = new FreshnessLease(time, LENGTH);
        lease.renew(Moment.now(time));
        long steady = 0;
        long daily = 0;
        for (int i = 0; i < 200; i++) {
            long step = random.nextLong(200);
            long jump = random.nextInt(20) == 0 ? random.nextLong(-3000, 3000) : 0;
            steady += step;
            daily += step + jump;
            time.mNanos += step * 1_000_000;
            time.mMillis += step + jump;
            if (steady >= LENGTH.toMillis() || daily >= LENGTH.toMillis()) {
                assertFalse(lease.isHeld(), "seed " + seed);
            }
        }
    }

    /** Two clocks that move apart. */
    private static final class SteppedTime implements TimeSource {

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
