package org.boragethread.core.deadline;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ServiceTimes}. */
public class ServiceTimesTest {

    private static final Duration WINDOW = Duration.ofSeconds(10);

    private ManualTimeSource mTime;
    private ServiceTimes mTimes;

    @BeforeMethod
    public void createTimes() {
        mTime = new ManualTimeSource();
        mTimes = new ServiceTimes(mTime, WINDOW, 4);
    }

    @Test
    public void tooFewObservationsGiveNoEstimate() {
        record(3, 100);
        assertEquals(mTimes.quantile(0.5), Optional.empty());
    }

    @Test
    public void quantilesFollowTheObservations() {
        record(90, 100);
        record(10, 1000);
        assertEquals(mTimes.quantile(0.5).get().toMillis(), 100, 1);
        assertEquals(mTimes.quantile(0.95).get().toMillis(), 1000, 10);
    }

    @Test
    public void newObservationsUpdateACachedEstimate() {
        record(10, 100);
        mTimes.quantile(0.5);
        record(100, 300);
        assertEquals(mTimes.quantile(0.5).get().toMillis(), 300, 3);
    }

    @Test
    public void observationsAreDiscardedAfterTwoWindows() {
        record(10, 100);
        mTime.advance(WINDOW);
        assertTrue(mTimes.quantile(0.5).isPresent());
        mTime.advance(WINDOW);
        assertEquals(mTimes.quantile(0.5), Optional.empty());
    }

    private void record(int count, long millis) {
        for (int i = 0; i < count; i++) {
            mTimes.record(Duration.ofMillis(millis));
        }
    }
}
