package org.boragethread.core.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.limit.ConcurrencyLimit.FailureKind;
import org.boragethread.core.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link AdaptiveLimit}. */
public class AdaptiveLimitTest {

    private static final int COLD_LIMIT = 2;
    private static final int MAX_LIMIT = 16;
    private static final Duration BASELINE = Duration.ofMillis(50);
    private static final int MANY_ROUNDS = 200;

    private ManualTimeSource mTime;
    private AdaptiveLimit mLimit;

    @BeforeMethod
    public void createColdLimit() {
        mTime = new ManualTimeSource();
        mLimit = new AdaptiveLimit.Builder(mTime, COLD_LIMIT, MAX_LIMIT).build();
    }

    @Test
    public void limitStaysColdWithoutResponses() {
        mTime.advance(Duration.ofMinutes(5));
        assertEquals(mLimit.limit(), COLD_LIMIT);
        assertTrue(mLimit.isCold());
    }

    @Test
    public void firstIncreaseNeedsTheWarmUpResponses() {
        mLimit = new AdaptiveLimit.Builder(mTime, COLD_LIMIT, MAX_LIMIT).warmUpResponses(6).build();
        completeRound(BASELINE);
        completeRound(BASELINE);
        assertEquals(mLimit.limit(), COLD_LIMIT);
        completeRound(BASELINE);
        assertEquals(mLimit.limit(), COLD_LIMIT + 1);
    }

    @Test
    public void warmUpTakesAtLeastTwoRoundsForEachStep() {
        int rounds = 0;
        while (mLimit.limit() < MAX_LIMIT && rounds < MANY_ROUNDS) {
            completeRound(BASELINE);
            rounds++;
        }
        assertTrue(rounds >= 2 * (MAX_LIMIT - COLD_LIMIT), "rounds " + rounds);
        assertEquals(mLimit.limit(), MAX_LIMIT);
        completeRound(BASELINE);
        assertFalse(mLimit.isCold());
    }

    @Test
    public void overloadedLimitIsRetriedWithIncreasingDelay() {
        warmUp();
        int overloads = 0;
        for (int i = 0; i < 240; i++) {
            if (mLimit.limit() > 8) {
                overloads++;
                mLimit.onFailure(sample(BASELINE), FailureKind.BUSY);
            }
            completeRound(BASELINE);
        }
        assertTrue(overloads <= 20, "overloads " + overloads + " in a minute");
    }

    @Test
    public void limitDoesNotIncreaseWhileItIsNotReached() {
        warmUp();
        mLimit.onFailure(sample(BASELINE), FailureKind.BUSY);
        int before = mLimit.limit();
        for (int i = 0; i < MANY_ROUNDS; i++) {
            completeCall(1, BASELINE);
        }
        assertEquals(mLimit.limit(), before);
    }

    @Test
    public void callsStartedBeforeTheLastChangeAreNotCounted() {
        warmUp();
        CallSample old = sample(BASELINE);
        mTime.advance(BASELINE);
        mLimit.onFailure(sample(BASELINE), FailureKind.BUSY);
        int before = mLimit.limit();
        assertEquals(mLimit.onFailure(old, FailureKind.BUSY), Optional.empty());
        assertEquals(mLimit.onSuccess(old), Optional.empty());
        assertEquals(mLimit.limit(), before);
    }

    @Test
    public void eachKindOfFailureLowersTheLimitAtOnce() {
        for (FailureKind kind : FailureKind.values()) {
            createColdLimit();
            warmUp();
            LimitChange change = mLimit.onFailure(sample(BASELINE.multipliedBy(3)), kind).get();
            assertEquals(change.reason(), LimitChangeReason.valueOf(kind.name()));
            assertTrue(change.to() < change.from(), kind.name());
        }
    }

    @Test
    public void timeoutOfACallWithLittleTimeDoesNotLowerTheLimit() {
        warmUp();
        CallSample timedOutEarly = sample(Duration.ofMillis(1));
        assertEquals(mLimit.onFailure(timedOutEarly, FailureKind.TIMED_OUT), Optional.empty());
    }

    @Test
    public void consecutiveFailuresResetTheLimit() {
        warmUp();
        CallSample old = sample(BASELINE);
        mLimit.onFailure(old, FailureKind.FAILED);
        mLimit.onFailure(old, FailureKind.FAILED);
        mLimit.onFailure(old, FailureKind.FAILED);
        assertEquals(mLimit.limit(), COLD_LIMIT);
        assertTrue(mLimit.isCold());
    }

    @Test
    public void lossOfTheUpstreamResetsTheLimit() {
        warmUp();
        LimitChange change = mLimit.onUpstreamLost(LimitChangeReason.LOST).get();
        assertEquals(change, new LimitChange(MAX_LIMIT, COLD_LIMIT, LimitChangeReason.LOST));
    }

    @Test
    public void slowResponsesAtLowLoadResetTheLimit() {
        warmUp();
        for (int i = 0; i < 4; i++) {
            completeCall(1, BASELINE.multipliedBy(6));
        }
        assertEquals(mLimit.limit(), COLD_LIMIT);
        assertTrue(mLimit.isCold());
    }

    @Test
    public void latencyJumpUnderLoadLowersTheLimit() {
        warmUp();
        completeRound(BASELINE.multipliedBy(3));
        completeRound(BASELINE.multipliedBy(3));
        assertTrue(mLimit.limit() < MAX_LIMIT, "limit " + mLimit.limit());
    }

    @Test
    public void responsesDelayedByASinglePauseDoNotLowerTheLimit() {
        warmUp();
        completeRound(BASELINE.multipliedBy(3));
        assertEquals(mLimit.limit(), MAX_LIMIT);
    }

    @Test
    public void lastingChangeOfLatencyBecomesTheBaseline() {
        warmUp();
        int rounds = 0;
        do {
            completeRound(BASELINE.multipliedBy(8));
            rounds++;
        } while (mLimit.limit() < MAX_LIMIT && rounds < MANY_ROUNDS * 10);
        assertEquals(mLimit.limit(), MAX_LIMIT);
    }

    @Test
    public void longIdleTimeResetsTheLimit() {
        warmUp();
        mTime.advance(Duration.ofSeconds(31));
        assertEquals(mLimit.onIdle().get().reason(), LimitChangeReason.IDLE);
        assertEquals(mLimit.limit(), COLD_LIMIT);
    }

    @Test
    public void reportedLoadLowersButNeverRaisesTheLimit() {
        mLimit.onReportedLoad(new ReportedLoad(0, MAX_LIMIT, Duration.ZERO));
        assertEquals(mLimit.limit(), COLD_LIMIT);
        warmUp();
        mLimit.onReportedLoad(new ReportedLoad(5, 5, Duration.ofMillis(100)));
        assertEquals(mLimit.limit(), 5);
        completeRound(BASELINE);
        assertEquals(mLimit.limit(), 5);
    }

    @Test
    public void outdatedReportIsIgnored() {
        warmUp();
        mLimit.onReportedLoad(new ReportedLoad(1, 1, Duration.ofSeconds(3)));
        assertEquals(mLimit.limit(), MAX_LIMIT);
    }

    @Test
    public void reportAppliesOnlyUntilItExpires() {
        warmUp();
        mLimit.onReportedLoad(new ReportedLoad(5, 5, Duration.ofMillis(500)));
        mTime.advance(Duration.ofMillis(1600));
        completeRound(BASELINE);
        assertEquals(mLimit.limit(), 6);
    }

    @Test
    public void reportHeaderIsParsed() {
        assertEquals(
                ReportedLoad.parse("in-flight=3;limit=8;age-ms=200"),
                Optional.of(new ReportedLoad(3, 8, Duration.ofMillis(200))));
        assertEquals(ReportedLoad.parse("in-flight=x;limit=8"), Optional.empty());
    }

    private void warmUp() {
        for (int i = 0; i < MANY_ROUNDS && mLimit.limit() < MAX_LIMIT; i++) {
            completeRound(BASELINE);
        }
        assertEquals(mLimit.limit(), MAX_LIMIT);
        completeRound(BASELINE);
    }

    /** Completes as many calls as the limit allows, all started at the same time. */
    private void completeRound(Duration latency) {
        int calls = mLimit.limit();
        long start = mTime.nanoTime();
        mTime.advance(latency);
        mTime.advance(Duration.ofMillis(200));
        for (int i = 1; i <= calls; i++) {
            mLimit.onSuccess(new CallSample(start, calls, latency));
        }
    }

    private void completeCall(int inFlight, Duration latency) {
        long start = mTime.nanoTime();
        mTime.advance(latency);
        mLimit.onSuccess(new CallSample(start, inFlight, latency));
    }

    private CallSample sample(Duration latency) {
        return new CallSample(mTime.nanoTime(), mLimit.limit(), latency);
    }
}
