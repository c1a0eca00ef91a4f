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

    private static final int COLD = 2;
    private static final int MAX = 16;
    private static final Duration USUAL = Duration.ofMillis(50);
    private static final int MANY_ROUNDS = 200;

    private ManualTimeSource mTime;
    private AdaptiveLimit mLimit;

    @BeforeMethod
    public void startCold() {
        mTime = new ManualTimeSource();
        mLimit = new AdaptiveLimit.Builder(mTime, COLD, MAX).build();
    }

    @Test
    public void limitStaysColdWithoutAnswers() {
        mTime.advance(Duration.ofMinutes(5));
        assertEquals(mLimit.limit(), COLD);
        assertTrue(mLimit.isCold());
    }

    @Test
    public void firstStepTakesTheAnswersOfTheWarmUp() {
        mLimit = new AdaptiveLimit.Builder(mTime, COLD, MAX).warmUpResponses(6).build();
        round(USUAL);
        round(USUAL);
        assertEquals(mLimit.limit(), COLD);
        round(USUAL);
        assertEquals(mLimit.limit(), COLD + 1);
    }

    @Test
    public void warmUpTakesMoreRoundsThanThereAreSteps() {
        int rounds = 0;
        while (mLimit.limit() < MAX && rounds < MANY_ROUNDS) {
            round(USUAL);
            rounds++;
        }
        assertTrue(rounds >= 2 * (MAX - COLD), "rounds " + rounds);
        assertEquals(mLimit.limit(), MAX);
        round(USUAL);
        assertFalse(mLimit.isCold());
    }

    @Test
    public void limitOfAnOverloadIsTriedAgainEverMoreRarely() {
        warmUp();
        int overloads = 0;
        for (int i = 0; i < 240; i++) {
            if (mLimit.limit() > 8) {
                overloads++;
                mLimit.onFailure(sample(USUAL), FailureKind.BUSY);
            }
            round(USUAL);
        }
        assertTrue(overloads <= 20, "overloads " + overloads + " in a minute");
    }

    @Test
    public void limitDoesNotRiseWhileItIsNotInUse() {
        warmUp();
        mLimit.onFailure(sample(USUAL), FailureKind.BUSY);
        int before = mLimit.limit();
        for (int i = 0; i < MANY_ROUNDS; i++) {
            answer(1, USUAL);
        }
        assertEquals(mLimit.limit(), before);
    }

    @Test
    public void callsStartedBeforeTheLastChangeCountNeitherWay() {
        warmUp();
        CallSample old = sample(USUAL);
        mTime.advance(USUAL);
        mLimit.onFailure(sample(USUAL), FailureKind.BUSY);
        int before = mLimit.limit();
        assertEquals(mLimit.onFailure(old, FailureKind.BUSY), Optional.empty());
        assertEquals(mLimit.onSuccess(old), Optional.empty());
        assertEquals(mLimit.limit(), before);
    }

    @Test
    public void eachKindOfFailureLowersTheLimitAtOnce() {
        for (FailureKind kind : FailureKind.values()) {
            startCold();
            warmUp();
            LimitChange change = mLimit.onFailure(sample(USUAL.multipliedBy(3)), kind).get();
            assertEquals(change.reason(), LimitChangeReason.valueOf(kind.name()));
            assertTrue(change.to() < change.from(), kind.name());
        }
    }

    @Test
    public void callThatTimedOutEarlyDoesNotBlameTheUpstream() {
        warmUp();
        CallSample hurried = sample(Duration.ofMillis(1));
        assertEquals(mLimit.onFailure(hurried, FailureKind.TIMED_OUT), Optional.empty());
    }

    @Test
    public void failuresInARowMakeTheUpstreamCold() {
        warmUp();
        CallSample old = sample(USUAL);
        mLimit.onFailure(old, FailureKind.FAILED);
        mLimit.onFailure(old, FailureKind.FAILED);
        mLimit.onFailure(old, FailureKind.FAILED);
        assertEquals(mLimit.limit(), COLD);
        assertTrue(mLimit.isCold());
    }

    @Test
    public void lostUpstreamIsColdAtOnce() {
        warmUp();
        LimitChange change = mLimit.onUpstreamLost(LimitChangeReason.LOST).get();
        assertEquals(change, new LimitChange(MAX, COLD, LimitChangeReason.LOST));
    }

    @Test
    public void slowAnswersAtLowLoadShowThatTheUpstreamIsColdAgain() {
        warmUp();
        for (int i = 0; i < 4; i++) {
            answer(1, USUAL.multipliedBy(6));
        }
        assertEquals(mLimit.limit(), COLD);
        assertTrue(mLimit.isCold());
    }

    @Test
    public void latencyJumpUnderLoadLowersTheLimit() {
        warmUp();
        round(USUAL.multipliedBy(3));
        round(USUAL.multipliedBy(3));
        assertTrue(mLimit.limit() < MAX, "limit " + mLimit.limit());
    }

    @Test
    public void answersDelayedByOnePauseDoNotLowerTheLimit() {
        warmUp();
        round(USUAL.multipliedBy(3));
        assertEquals(mLimit.limit(), MAX);
    }

    @Test
    public void lastingChangeOfLatencyIsLearntInTheEnd() {
        warmUp();
        int rounds = 0;
        do {
            round(USUAL.multipliedBy(8));
            rounds++;
        } while (mLimit.limit() < MAX && rounds < MANY_ROUNDS * 10);
        assertEquals(mLimit.limit(), MAX);
    }

    @Test
    public void limitIsNotTrustedAfterALongIdleTime() {
        warmUp();
        mTime.advance(Duration.ofSeconds(31));
        assertEquals(mLimit.onIdle().get().reason(), LimitChangeReason.IDLE);
        assertEquals(mLimit.limit(), COLD);
    }

    @Test
    public void reportedLoadLowersButNeverRaises() {
        mLimit.onReportedLoad(new ReportedLoad(0, MAX, Duration.ZERO));
        assertEquals(mLimit.limit(), COLD);
        warmUp();
        mLimit.onReportedLoad(new ReportedLoad(5, 5, Duration.ofMillis(100)));
        assertEquals(mLimit.limit(), 5);
        round(USUAL);
        assertEquals(mLimit.limit(), 5);
    }

    @Test
    public void lateReportIsIgnored() {
        warmUp();
        mLimit.onReportedLoad(new ReportedLoad(1, 1, Duration.ofSeconds(3)));
        assertEquals(mLimit.limit(), MAX);
    }

    @Test
    public void reportBindsOnlyUntilItIsOld() {
        warmUp();
        mLimit.onReportedLoad(new ReportedLoad(5, 5, Duration.ofMillis(500)));
        mTime.advance(Duration.ofMillis(1600));
        round(USUAL);
        assertEquals(mLimit.limit(), 6);
    }

    @Test
    public void reportHeaderIsRead() {
        assertEquals(
                ReportedLoad.parse("in-flight=3;limit=8;age-ms=200"),
                Optional.of(new ReportedLoad(3, 8, Duration.ofMillis(200))));
        assertEquals(ReportedLoad.parse("in-flight=x;limit=8"), Optional.empty());
    }

    private void warmUp() {
        for (int i = 0; i < MANY_ROUNDS && mLimit.limit() < MAX; i++) {
            round(USUAL);
        }
        assertEquals(mLimit.limit(), MAX);
        round(USUAL);
    }

    /** As many calls as the limit allows, all started together. */
    private void round(Duration latency) {
        int calls = mLimit.limit();
        long start = mTime.nanoTime();
        mTime.advance(latency);
        mTime.advance(Duration.ofMillis(200));
        for (int i = 1; i <= calls; i++) {
            mLimit.onSuccess(new CallSample(start, calls, latency));
        }
    }

    private void answer(int inFlight, Duration latency) {
        long start = mTime.nanoTime();
        mTime.advance(latency);
        mLimit.onSuccess(new CallSample(start, inFlight, latency));
    }

    private CallSample sample(Duration latency) {
        return new CallSample(mTime.nanoTime(), mLimit.limit(), latency);
    }
}
