package org.boragethread.entry.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Set;
import org.boragethread.core.placement.PlacementKey;
import org.boragethread.core.placement.PlacementRequest;
import org.boragethread.wire.proto.PlacementNeeds;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests numbers in messages of other entries. */
public class PlacementCodecTest {

    private static final long NOW = Duration.ofHours(1).toNanos();

    @DataProvider
    public Object[][] costs() {
        double max = Duration.ofHours(1).toMillis();
        return new Object[][] {
            {5.5, 5.5},
            {-1.0, 0.0},
            {Double.NaN, 0.0},
            {Double.NEGATIVE_INFINITY, 0.0},
            {Double.POSITIVE_INFINITY, max},
        };
    }

    // Guards against a cost with which no engine can be compared.
    @Test(dataProvider = "costs")
    public void costIsFinite(double sent, double expected) {
        PlacementNeeds needs =
                PlacementNeeds.newBuilder()
                        .setInputDataCentre("north")
                        .setRemoteMillis(sent)
                        .build();
        assertEquals(decode(needs).remoteMillis(), expected);
    }

    // Guards against times that overflow, so that a request expires at once or never.
    @Test
    public void timesLeftAreBounded() {
        for (long left : new long[] {Long.MIN_VALUE, Long.MAX_VALUE}) {
            PlacementNeeds needs =
                    PlacementNeeds.newBuilder()
                            .setTargetLeftNanos(left)
                            .setDeadlineLeftNanos(left)
                            .setExpiryLeftNanos(left)
                            .build();
            PlacementRequest request = decode(needs);
            long day = Duration.ofDays(1).toNanos();
            assertEquals(request.targetNanos(), left < 0 ? NOW - day : NOW + day);
            assertEquals(request.deadlineNanos(), request.targetNanos());
            assertTrue(request.expiryNanos() >= request.deadlineNanos());
        }
    }

    // Guards against a response time that makes the delay of all reports seem endless.
    @Test
    public void agesAreBounded() {
        assertEquals(PlacementCodec.age(-1), Duration.ZERO);
        assertEquals(PlacementCodec.age(7), Duration.ofNanos(7));
        assertEquals(PlacementCodec.age(Long.MAX_VALUE), Duration.ofHours(1));
    }

    private static PlacementRequest decode(PlacementNeeds needs) {
        return PlacementCodec.decode(new PlacementKey("e", "r", 1), needs, Set.of(), NOW);
    }
}
