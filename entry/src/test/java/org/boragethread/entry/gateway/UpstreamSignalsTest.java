package org.boragethread.entry.gateway;

import static org.testng.Assert.assertEquals;

import io.netty.channel.DefaultEventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
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

    /** Returns when a call was sent, in ms after the refusal, and whether its response counts. */
    @DataProvider
    public Object[][] pooledCalls() {
        return new Object[][] {{-1, true}, {1, false}};
    }

    // Guards against a sound upstream that stays marked because all calls to it reuse connections.
    @Test(dataProvider = "pooledCalls")
    public void responseOnPooledConnectionRemovesMark(int sentMillis, boolean refusing) {
        ManualTimeSource time = new ManualTimeSource();
        DefaultEventLoop loop = new DefaultEventLoop();
        Gateway gateway = new Gateway(TestSettings.create(), time, loop, new GatewayMetrics());
        new UpstreamListener(gateway)
                .onSnapshot(Map.of("upstream-1", ANNOUNCEMENT.getBytes(StandardCharsets.UTF_8)));
        UpstreamNode node = gateway.directory().find(new UpstreamId("upstream-1")).get();
        time.advance(Duration.ofSeconds(1));
        long refusedAt = time.nanoTime();
        node.onConnectionRefused(refusedAt, refusedAt, Duration.ZERO);
        long sentAt = refusedAt + Duration.ofMillis(sentMillis).toNanos();
        time.advance(Duration.ofMillis(2));
        RequestSuspects suspects =
                new RequestSuspects(
                        gateway.quarantine(), node.entry().group(), null, "team", List.of());
        new UpstreamAttempt(node, gateway, suspects, false, null, sentAt, 0, 0)
                .onHead(
                        new DefaultHttpResponse(
                                HttpVersion.HTTP_1_1, HttpResponseStatus.INTERNAL_SERVER_ERROR));
        assertEquals(node.isRefusing(), refusing);
        loop.shutdownGracefully();
    }
}
