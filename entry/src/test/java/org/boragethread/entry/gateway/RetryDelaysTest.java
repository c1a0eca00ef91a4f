package org.boragethread.entry.gateway;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Optional;
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

    /** Guards against the delay of an own coordinator, which may be any, in a Retry-After. */
    @Test
    public void delayAfterARejectionIsBounded() {
        assertEquals(RetryDelays.afterRejection(Duration.ofDays(2), 0), Duration.ofMinutes(1));
    }

    /**
     * Guards against refusals without an estimate of a coordinator that all name two seconds, or
     * that name less because no stage completes, so that none raises their time.
     */
    @Test
    public void returnsAfterOtherRefusalsOfSharedStagesFollowTheirTimeAndAreSpread() {
        Duration left = Duration.ofSeconds(9);
        Duration stageTime = Duration.ofMillis(700);
        Optional<Duration> none = Optional.empty();
        assertEquals(
                RetryDelays.afterStages(true, none, left, stageTime, 0.5), Duration.ofMillis(2500));
        assertEquals(
                RetryDelays.afterStages(true, none, left, Duration.ofMillis(3700), 0.5),
                Duration.ofMillis(4200));
        assertEquals(
                RetryDelays.afterStages(false, none, left, stageTime, 0.5), Duration.ofSeconds(2));
        Optional<Duration> rejection = Optional.of(Duration.ofMillis(300));
        assertEquals(
                RetryDelays.afterStages(true, rejection, left, stageTime, 0.5),
                Duration.ofMillis(800));
    }
}
