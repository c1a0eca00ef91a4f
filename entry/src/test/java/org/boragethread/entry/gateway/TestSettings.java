package org.boragethread.entry.gateway;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.boragethread.core.upstream.ColdRateShare.ColdRateBound;
import org.boragethread.model.place.DataCentreId;

/** Creates settings of a gateway that listens nowhere. */
final class TestSettings {

    private TestSettings() {}

    static GatewaySettings create() {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return new GatewaySettings(
                "gateway-1",
                new DataCentreId("north"),
                Map.of(new DataCentreId("north"), "region-1"),
                any,
                any,
                Optional.empty(),
                any,
                100,
                any,
                1,
                Duration.ofSeconds(2),
                Duration.ofMinutes(5),
                Duration.ofSeconds(3),
                Duration.ofMinutes(10),
                Duration.ofSeconds(1),
                new GatewaySettings.RetryBound(0.2, 10, Duration.ofSeconds(10)),
                new ColdRateBound(1, 1),
                SchedulingSettings.local(),
                Optional.empty());
    }
}
