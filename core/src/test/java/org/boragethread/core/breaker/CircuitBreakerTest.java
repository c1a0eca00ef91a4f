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

    private static final Duration LONGEST_FIRST_BACK_OFF = Duration.ofMillis(500);
    private static final int RUN = 8;

    private ManualTimeSource mTime;
    private List<BreakerChange> mChanges;
    private CircuitBreaker mBreaker;

    @BeforeMethod
    public void makeBreaker() {
        mTime = new ManualTimeSource();
        mChanges = new ArrayList<>();
        mBreaker = new CircuitBreaker(mTime, new SplittableRandom(1), mChanges::add);
    }

    @Test
    public void failuresInARowOpenIt() {
        call(RUN - 1, CallOutcome.FAILED);
        assertTrue(mBreaker.allowsCalls());
        call(1, CallOutcome.UNREACHABLE);
        assertFalse(mBreaker.allowsCalls());
        assertEquals(mChanges, List.of(BreakerChange.OPENED_BY_RUN));
    }

    @Test
    public void mostCallsFailingOpensIt() {
        for (int i = 0; i < 4; i++) {
            call(7, CallOutcome.TIMED_OUT);
            call(1, CallOutcome.GOOD);
        }
        assertEquals(mChanges, List.of(BreakerChange.OPENED_BY_RATE));
    }

    @Test
    public void everySecondCallFailingLeavesItClosed() {
        for (int i = 0; i < 100; i++) {
            call(1, CallOutcome.FAILED);
            call(1, CallOutcome.GOOD);
        }
        assertEquals(mBreaker.state(), BreakerState.CLOSED);
    }

    @Test
    public void overloadAndWithdrawnCallsAreNoFailures() {
        call(100, CallOutcome.BUSY);
        call(100, CallOutcome.CANCELLED);
        assertTrue(mBreaker.allowsCalls());
    }

    @Test
    public void oneProbeAtATimePassesAfterTheBackOff() {
        open();
        mTime.advance(LONGEST_FIRST_BACK_OFF);
        assertTrue(mBreaker.tryStartCall().isPresent());
        assertFalse(mBreaker.tryStartCall().isPresent());
        assertFalse(mBreaker.allowsCalls());
    }

    @Test
    public void goodProbeClosesIt() {
        open();
        mTime.advance(LONGEST_FIRST_BACK_OFF);
        call(1, CallOutcome.GOOD);
        assertEquals(mBreaker.state(), BreakerState.CLOSED);
    }

    @Test
    public void failedProbeDoublesTheBackOff() {
        open();
        mTime.advance(LONGEST_FIRST_BACK_OFF);
        call(1, CallOutcome.FAILED);
        mTime.advance(LONGEST_FIRST_BACK_OFF.minusMillis(1));
        assertFalse(mBreaker.allowsCalls());
        mTime.advance(LONGEST_FIRST_BACK_OFF);
        assertTrue(mBreaker.allowsCalls());
    }

    @Test
    public void lateResultsOfEarlierCallsDoNotCloseIt() {
        Breaker.CallHandle early = mBreaker.tryStartCall().orElseThrow();
        open();
        mTime.advance(LONGEST_FIRST_BACK_OFF);
        mBreaker.tryStartCall();
        early.complete(CallOutcome.GOOD);
        assertEquals(mBreaker.state(), BreakerState.HALF_OPEN);
    }

    @Test
    public void lostProbeIsReplacedInTheEnd() {
        open();
        mTime.advance(LONGEST_FIRST_BACK_OFF);
        mBreaker.tryStartCall();
        mTime.advance(Duration.ofSeconds(10));
        assertTrue(mBreaker.tryStartCall().isPresent());
    }

    private void open() {
        call(RUN, CallOutcome.FAILED);
        assertFalse(mBreaker.allowsCalls());
    }

    private void call(int calls, CallOutcome outcome) {
        for (int i = 0; i < calls; i++) {
            mBreaker.tryStartCall().ifPresent(ticket -> ticket.complete(outcome));
        }
    }
}
