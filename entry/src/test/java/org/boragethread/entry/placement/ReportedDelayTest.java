package org.boragethread.entry.placement;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.testng.annotations.Test;

/** Guards against callers that stay away for years because of one faulty message of a peer. */
public class ReportedDelayTest {

    @Test
    public void delayIsWithinItsRange() {
        assertEquals(ReportedDelay.decode(-1), Duration.ZERO);
        assertEquals(ReportedDelay.decode(1_500_000), Duration.ofNanos(1_500_000));
        assertEquals(ReportedDelay.decode(Long.MAX_VALUE), ReportedDelay.MAX);
    }
}
