package org.boragethread.core.retry;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.deadline.ServiceTimes;
import org.boragethread.core.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link TailHedgePolicy}. */
public class TailHedgePolicyTest {

    private static final HedgeRequest IDEMPOTENT = new HedgeRequest(true, Duration.ofSeconds(2), 0);

    private final HedgePolicy mPolicy = new TailHedgePolicy();
    private ManualTimeSource mTime;
    private ServiceTimes mTimes;
    private RetryBudget mBudget;

    @BeforeMethod
    public void createObservations() {
        mTime = new ManualTimeSource();
        mTimes = new ServiceTimes(mTime, Duration.ofSeconds(10), 10);
        mBudget = new RetryBudget(mTime);
        for (int i = 0; i < 100; i++) {
            mTimes.record(Duration.ofMillis(i < 90 ? 100 : 800));
        }
    }

    @Test
    public void hedgeIsSentAtTheTailQuantile() {
        assertEquals(mPolicy.delay(IDEMPOTENT, mTimes).get().toMillis(), 800, 8);
    }

    @Test
    public void stageThatIsNotIdempotentIsNeverHedged() {
        HedgeRequest request = new HedgeRequest(false, Duration.ofSeconds(2), 0);
        assertEquals(mPolicy.delay(request, mTimes), Optional.empty());
        assertEquals(mPolicy.decide(request, mTimes, mBudget), HedgeDecision.NOT_IDEMPOTENT);
    }

    @Test
    public void attemptIsNotHedgedWithoutObservations() {
        ServiceTimes empty = new ServiceTimes(mTime, Duration.ofSeconds(10), 10);
        assertEquals(mPolicy.delay(IDEMPOTENT, empty), Optional.empty());
    }

    @Test
    public void attemptIsNotHedgedWithoutTimeForASecondOne() {
        HedgeRequest request = new HedgeRequest(true, Duration.ofMillis(850), 0);
        assertEquals(mPolicy.delay(request, mTimes), Optional.empty());
    }

    @Test
    public void delayIsAtLeastTwiceTheTypicalTime() {
        for (int i = 0; i < 10_000; i++) {
            mTimes.record(Duration.ofMillis(100));
        }
        assertEquals(mPolicy.delay(IDEMPOTENT, mTimes).get().toMillis(), 200, 2);
    }

    @Test
    public void busyGroupIsNotHedged() {
        HedgeRequest request = new HedgeRequest(true, Duration.ofSeconds(2), 0.6);
        assertEquals(mPolicy.decide(request, mTimes, mBudget), HedgeDecision.NO_ROOM);
    }

    @Test
    public void hedgesAreChargedToTheBudget() {
        assertEquals(mPolicy.decide(IDEMPOTENT, mTimes, mBudget), HedgeDecision.SENT);
        assertEquals(mPolicy.decide(IDEMPOTENT, mTimes, mBudget), HedgeDecision.BUDGET_EXHAUSTED);
    }
}
