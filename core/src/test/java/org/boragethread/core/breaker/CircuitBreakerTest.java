package org.boragethread.core.breaker;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.boragethread.core.admission.CallOutcome;
import org.boragethread.core.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link CircuitBreaker}. */
public class CircuitBreakerTest {

    private static final Duration MAX_FIRST_BACK_OFF = Duration.ofMillis(500);
    private static final int CONSECUTIVE_FAILURES_TO_OPEN = 8;

    private ManualTimeSource mTime;
    private List<BreakerChange> mChanges;
    private CircuitBreaker mBreaker;

    @BeforeMethod
    public void createBreaker() {
        mTime = new ManualTimeSource();
        mChanges = new ArrayList<>();
        mBreaker = new CircuitBreaker(mTime, new SplittableRandom(1), mChanges::add);
    }

    @Test
    public void consecutiveFailuresOpenTheBreaker() {
        call(CONSECUTIVE_FAILURES_TO_OPEN - 1, CallOutcome.FAILED);
        assertTrue(mBreaker.allowsCalls());
        call(1, CallOutcome.UNREACHABLE);
        assertFalse(mBreaker.allowsCalls());
        assertEquals(mChanges, List.of(BreakerChange.OPENED_BY_RUN));
    }

    @Test
    public void highFailureRateOpensTheBreaker() {
        for (int i = 0; i < 4; i++) {
            call(7, CallOutcome.TIMED_OUT);
            call(1, CallOutcome.GOOD);
        }
        assertEquals(mChanges, List.of(BreakerChange.OPENED_BY_RATE));
    }

    @Test
    public void breakerStaysClosedWhenEverySecondCallFails() {
        for (int i = 0; i < 100; i++) {
            call(1, CallOutcome.FAILED);
            call(1, CallOutcome.GOOD);
        }
        assertEquals(mBreaker.state(), BreakerState.CLOSED);
    }

    @Test
    public void overloadAndCancellationsAreNotFailures() {
        call(100, CallOutcome.BUSY);
        call(100, CallOutcome.CANCELLED);
        assertTrue(mBreaker.allowsCalls());
    }

    @Test
    public void oneProbeAtATimePassesAfterTheBackOff() {
        open();
        mTime.advance(MAX_FIRST_BACK_OFF);
        assertTrue(mBreaker.tryStartCall().isPresent());
        assertFalse(mBreaker.tryStartCall().isPresent());
        assertFalse(mBreaker.allowsCalls());
    }

    @Test
    public void successfulProbeClosesTheBreaker() {
        open();
        mTime.advance(MAX_FIRST_BACK_OFF);
        call(1, CallOutcome.GOOD);
        assertEquals(mBreaker.state(), BreakerState.CLOSED);
    }

    @Test
    public void failedProbeDoublesTheBackOff() {
        open();
        mTime.advance(MAX_FIRST_BACK_OFF);
        call(1, CallOutcome.FAILED);
        mTime.advance(MAX_FIRST_BACK_OFF.minusMillis(1));
        assertFalse(mBreaker.allowsCalls());
        mTime.advance(MAX_FIRST_BACK_OFF);
        assertTrue(mBreaker.allowsCalls());
    }

    @Test
    public void lateResultsOfEarlierCallsDoNotCloseTheBreaker() {
        Breaker.CallHandle early = mBreaker.tryStartCall().orElseThrow();
        open();
        mTime.advance(MAX_FIRST_BACK_OFF);
        mBreaker.tryStartCall();
        early.complete(CallOutcome.GOOD);
        assertEquals(mBreaker.state(), BreakerState.HALF_OPEN);
    }

    @Test
    public void anotherProbeMayStartAfterTheProbeTimeout() {
        open();
        mTime.advance(MAX_FIRST_BACK_OFF);
        mBreaker.tryStartCall();
        mTime.advance(Duration.ofSeconds(10));
        assertTrue(mBreaker.tryStartCall().isPresent());
    }

    private void open() {
        call(CONSECUTIVE_FAILURES_TO_OPEN, CallOutcome.FAILED);
        assertFalse(mBreaker.allowsCalls());
    }

    private void call(int calls, CallOutcome outcome) {
        for (int i = 0; i < calls; i++) {
            mBreaker.tryStartCall().ifPresent(handle -> handle.complete(outcome));
        }
    }
}
