package org.boragethread.entry.gateway;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.testng.annotations.Test;

/** Guards against callers that were rejected together and all return at the same moment. */
public class RetryDelaysTest {

    @Test
    public void returnsAfterARejectionAreSpreadOverASecond() {
        Duration delay = Duration.ofMillis(1700);
        assertEquals(RetryDelays.afterRejection(delay, 0), delay);
        assertEquals(RetryDelays.afterRejection(delay, 0.5), Duration.ofMillis(2200));
        assertEquals(RetryDelays.afterRejection(Duration.ZERO, 0), RetryDelays.SHORT);
    }
}
