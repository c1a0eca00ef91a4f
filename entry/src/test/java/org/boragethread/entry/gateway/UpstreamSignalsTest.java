package org.boragethread.entry.gateway;

import static org.testng.Assert.assertEquals;

import io.netty.channel.DefaultEventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.upstream.UpstreamId;
import org.boragethread.platform.store.PlatformHeaders;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what is learned from headers of upstreams. */
public class UpstreamSignalsTest {

    private static final String ANNOUNCEMENT =
            """
            {"service":"orders","address":"127.0.0.1:1","zone":"north","version":"v1","slots":4,
            "state":"ready","cold_left_ms":0,"seq":1}""";

    @DataProvider
    public Object[][] modes() {
        return new Object[][] {
            {SchedulingSettings.Mode.LOCAL, 0}, {SchedulingSettings.Mode.SHARED, 1},
        };
    }

    // Guards against warnings about a header that is not used where upstreams are not shared.
    @Test(dataProvider = "modes")
    public void malformedLoadIsReportedOnlyIfUsed(SchedulingSettings.Mode mode, int reports) {
        ManualTimeSource time = new ManualTimeSource();
        DefaultEventLoop loop = new DefaultEventLoop();
        GatewayMetrics metrics = new GatewayMetrics();
        Gateway gateway = new Gateway(TestSettings.create(), time, loop, metrics);
        new UpstreamListener(gateway)
                .onSnapshot(Map.of("upstream-1", ANNOUNCEMENT.getBytes(StandardCharsets.UTF_8)));
        UpstreamNode node = gateway.directory().find(new UpstreamId("upstream-1")).get();
        UpstreamSignals signals =
                new UpstreamSignals(
                        gateway.scheduler(),
                        time,
                        gateway.log(),
                        metrics,
                        null,
                        new SchedulingSettings(mode, false));
        HttpHeaders headers = new DefaultHttpHeaders().set(PlatformHeaders.LOAD, "x");
        signals.apply(node, node.entry(), 0, 200, headers);
        long counted =
                metrics.scrape()
                        .lines()
                        .filter(line -> line.contains("signals_total{signal=\"malformed\"} 1"))
                        .count();
        assertEquals(counted, reports);
        loop.shutdownGracefully();
    }
}
