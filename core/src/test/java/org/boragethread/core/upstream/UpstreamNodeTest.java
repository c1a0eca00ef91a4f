package org.boragethread.core.upstream;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Tests {@link UpstreamNode}. */
public class UpstreamNodeTest {

    /** Guards against a time factor that is not a number with a clock that starts below zero. */
    @Test
    public void timeFactorIsUsualWithoutReports() {
        long now = -1_000_000_000_000L;
        UpstreamNode node = new UpstreamNode(UpstreamEntries.of("a", "group", "north"), now);
        assertEquals(node.timeFactor(now), 1.0);
    }
}
