package org.boragethread.entry.gateway;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.upstream.ColdRateShare.ColdRateBound;
import org.boragethread.model.outcome.ExecutionStatus;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.place.DataCentreId;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests requests that arrive late: after their deadline, or at a process that stops. */
public class AdmissionTest {

    private static final String CONFIG =
            """
            {"version":1,"routes":[
            {"name":"unsafe","hostname":"127.0.0.1","path_prefix":"/","kind":"unsafe",
             "timeout_ms":5000,"target_latency_ms":400,"service":"orders","max_attempts":1}],
            "services":[{"name":"orders","max_conns":200}]}""";

    private static final Duration LAST_CALLS = Duration.ofMillis(2720);
    private static final Duration ABORT = Duration.ofMillis(7120);
    private static final String ADMITTED = "admitted";

    private EventLoopGroup mLoops;
    private ManualTimeSource mTime;
    private Gateway mGateway;

    @BeforeMethod
    public void start() {
        mLoops = new NioEventLoopGroup(1);
        mTime = new ManualTimeSource();
        mGateway = new Gateway(settings(), mTime, mLoops.next(), new GatewayMetrics());
        ConfigListener config = new ConfigListener(mGateway);
        config.onSnapshot(Map.of("config", CONFIG.getBytes(StandardCharsets.UTF_8)));
        config.onUpToDate(ClockReading.now(mTime));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static GatewaySettings settings() {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
        return new GatewaySettings(
                "gateway-1",
                new DataCentreId("north"),
                Map.of(new DataCentreId("north"), "region-1"),
                address,
                address,
                Optional.empty(),
                address,
                100,
                address,
                1,
                Duration.ofSeconds(2),
                Duration.ofMinutes(5),
                Duration.ofSeconds(3),
                Duration.ofMinutes(10),
                Duration.ofSeconds(8),
                new GatewaySettings.RetryBound(0.2, 10, Duration.ofSeconds(10)),
                new ColdRateBound(1, 1),
                SchedulingSettings.local(),
                Optional.empty());
    }

    /** Admits a request whose body arrives some time after its head. */
    private String admit(int deadlineMillis, int bodyAfterMillis) {
        ClockReading headAt = ClockReading.now(mTime);
        mTime.advance(Duration.ofMillis(bodyAfterMillis));
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.HOST, "127.0.0.1");
        headers.set("X-Boragethread-Deadline-Ms", deadlineMillis);
        CallerRequest request =
                new CallerRequest(
                        "id-1",
                        HttpMethod.POST,
                        "/x",
                        headers,
                        Unpooled.EMPTY_BUFFER,
                        headAt.nanos(),
                        headAt);
        return new Admission(mGateway)
                .admit(request)
                .fold(refusal -> refusal.reason() + " " + refusal.ran(), admitted -> ADMITTED);
    }

    private static String notRun(RefusalReason reason) {
        return reason + " " + ExecutionStatus.NO;
    }

    @DataProvider
    public Object[][] bodies() {
        String refused = notRun(RefusalReason.DEADLINE_HOPELESS);
        return new Object[][] {
            {2500, 0, ADMITTED},
            {2500, 2499, ADMITTED},
            {2500, 2500, refused},
            {2500, 4000, refused},
            {9000, 4999, ADMITTED},
            {9000, 5000, refused},
        };
    }

    // Guards against upstreams that are sent a request whose deadline has passed.
    @Test(dataProvider = "bodies")
    public void requestWithoutTimeLeftIsRefusedAsNotRun(
            int deadlineMillis, int bodyAfterMillis, String expected) {
        assertEquals(admit(deadlineMillis, bodyAfterMillis), expected);
    }

    @DataProvider
    public Object[][] arrivals() {
        String refused = notRun(RefusalReason.NOT_READY);
        return new Object[][] {
            {0, 9000, ADMITTED},
            {2700, 5000, ADMITTED},
            {2800, 4000, ADMITTED},
            {2800, 5000, refused},
            {3100, 4000, ADMITTED},
            {3100, 4100, refused},
            {6000, 1000, ADMITTED},
            {6000, 1200, refused},
        };
    }

    // Guards against requests that arrive late in a stop and are cut off at its end.
    @Test(dataProvider = "arrivals")
    public void requestThatMayOutlastTheStopIsRefusedAsNotRun(
            int stoppingMillis, int deadlineMillis, String expected) {
        mGateway.setStopping(LAST_CALLS, ABORT);
        mTime.advance(Duration.ofMillis(stoppingMillis));
        assertEquals(admit(deadlineMillis, 0), expected);
    }
}
