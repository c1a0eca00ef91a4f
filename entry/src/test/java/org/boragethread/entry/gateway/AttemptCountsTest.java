package org.boragethread.entry.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.boragethread.model.outcome.ExecutionStatus;
import org.boragethread.model.outcome.RefusalReason;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link AttemptCounts}. */
public class AttemptCountsTest {

    /** Returns attempts that reached nobody, and after how many of them a request is refused. */
    @DataProvider
    public Object[][] unsent() {
        return new Object[][] {
            {new UnsentAttempt(0, true, false, "refused"), AttemptCounts.MAX_REFUSED_CONNECTIONS},
            {new UnsentAttempt(0, true, true, "refused, as expected"), 5},
            {new UnsentAttempt(0, false, false, "timed out"), 5},
        };
    }

    // Guards against dead upstreams that use up the attempts of a request, and against requests
    // that try an unlimited number of them.
    @Test(dataProvider = "unsent")
    public void attemptsThatReachNobodyAreBounded(UnsentAttempt unsent, int bound) {
        AttemptCounts counts = new AttemptCounts();
        for (int i = 1; i <= bound; i++) {
            counts.onSent();
            assertEquals(
                    counts.refusal(RefusalReason.NO_UPSTREAM, "", Duration.ZERO).ran(),
                    ExecutionStatus.UNKNOWN);
            counts.onNotSent(unsent);
            assertEquals(counts.mayTryAfter(unsent), i < bound, "after " + i);
        }
        assertEquals(
                counts.refusal(RefusalReason.NO_UPSTREAM, "", Duration.ZERO).ran(),
                ExecutionStatus.NO);
    }

    // Guards against a request that an upstream rejects and that was refused elsewhere before.
    @Test
    public void refusedConnectionsAreNoRejections() {
        AttemptCounts counts = new AttemptCounts();
        for (int i = 0; i < 10; i++) {
            counts.onSent();
            counts.onNotSent(new UnsentAttempt(0, true, false, "refused"));
        }
        assertTrue(counts.mayBeRejectedAgain());
        for (int i = 0; i < 4; i++) {
            counts.onSent();
            counts.onRejected("10.1.2.3:80");
        }
        assertFalse(counts.mayBeRejectedAgain());
    }

    // Guards against a request to a silent upstream that tries any number of dead ones beside it.
    @Test
    public void refusedSecondAttemptsAreBounded() {
        AttemptCounts counts = new AttemptCounts();
        for (int i = 0; i < 4; i++) {
            assertTrue(counts.maySendSecond());
            counts.onSent();
            counts.onSecondNotSent(new UnsentAttempt(0, true, false, "refused"));
        }
        assertFalse(counts.maySendSecond());
        assertTrue(counts.mayBeRejectedAgain());
    }
}
