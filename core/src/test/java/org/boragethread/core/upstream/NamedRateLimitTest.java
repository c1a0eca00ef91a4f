package org.boragethread.core.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.OptionalDouble;
import org.testng.annotations.Test;

/** Tests {@link NamedRateLimit}. */
public class NamedRateLimitTest {

    private static final OptionalDouble NONE = OptionalDouble.empty();
    private static final OptionalDouble LOW = OptionalDouble.of(1);
    private static final OptionalDouble HIGH = OptionalDouble.of(5);

    @Test
    public void laterResponseReplacesOrWithdrawsTheLimit() {
        NamedRateLimit limit = new NamedRateLimit();
        assertTrue(limit.observe(LOW, 0, 10));
        assertFalse(limit.observe(LOW, 11, 12));
        assertTrue(limit.observe(HIGH, 13, 20));
        assertEquals(limit.perSecond(), HIGH);
        assertTrue(limit.observe(NONE, 21, 30));
        assertEquals(limit.perSecond(), NONE);
    }

    // Guards against an older response that overtakes a newer one and lifts its limit.
    @Test
    public void responseToAnEarlierCallOnlyLowersTheLimit() {
        NamedRateLimit limit = new NamedRateLimit();
        limit.observe(HIGH, 0, 10);
        assertFalse(limit.observe(NONE, 9, 11));
        assertTrue(limit.observe(LOW, 9, 12));
        assertFalse(limit.observe(HIGH, 11, 13));
        assertEquals(limit.perSecond(), LOW);
    }
}
