package org.boragethread.core.stage;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.OptionalDouble;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.routing.BatchLimits;
import org.testng.annotations.Test;

/** Tests {@link StageStartEstimate}. */
public class StageStartEstimateTest {

    private static final BatchLimits LIMITS =
            new BatchLimits(
                    1,
                    2,
                    7,
                    Duration.ofMillis(65),
                    Duration.ofMillis(5),
                    1_000_000,
                    Duration.ofSeconds(4));

    // Guards against a wait for memory that grows as the share of the calls shrinks.
    @Test
    public void shareAppliesToCallsOnly() {
        ManualTimeSource time = new ManualTimeSource();
        SimUpstreams upstreams = new SimUpstreams(time, LIMITS, "north");
        StageStartEstimate estimate =
                new StageStartEstimate(upstreams.upstreams(), LIMITS, node -> 0, time.nanoTime());
        OptionalDouble residence = OptionalDouble.of(7e8);
        assertEquals(estimate.nanosToServe(7, 960_000, residence, 0.2), 7e8, 1e6);
        assertEquals(estimate.nanosToServe(7, 960_000, residence, 0.05), 2e9, 1e6);
    }
}
