package org.boragethread.entry.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.time.SystemTimeSource;
import org.boragethread.core.time.TimeSource;
import org.boragethread.core.upstream.ColdRateShare.ColdRateBound;
import org.boragethread.model.place.DataCentreId;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests requests of which one callback throws, for each reading of the clock on their way. */
public class ThrowingCallbackTest {

    private static final int WAIT_SECONDS = 10;

    /** More than a request may take, and less than its route's timeout. */
    private static final int MAX_RESPONSE_MILLIS = 2000;

    private static final int MAX_READINGS = 500;
    private static final int CLOSED = 0;
    private static final int NEVER = -1;

    private static final String CONFIG =
            """
            {"version":1,"routes":[
            {"name":"safe","hostname":"127.0.0.1","path_prefix":"/","kind":"safe",
             "timeout_ms":30000,"target_latency_ms":400,"service":"orders","max_attempts":1}],
            "services":[{"name":"orders","max_conns":200}],
            "tenants":[{"name":"team-1","api_keys":["key-1"]}]}""";

    private static final String ANNOUNCEMENT =
            """
            {"service":"orders","address":"127.0.0.1:%d","zone":"north","version":"v1","slots":4,
            "state":"ready",
            "cold_left_ms":0,"seq":1}""";

    private static final String REQUEST =
            """
            GET /x HTTP/1.1\r
            Host: 127.0.0.1\r
            Authorization: Token key-1\r
            X-Boragethread-Request-Id: id-%d\r
            \r
            """;

    private static final String RESPONSE =
            """
            HTTP/1.1 200 OK\r
            Content-Length: 4\r
            X-Boragethread-Request-Id: %s\r
            X-Boragethread-Response-Seal: seal\r
            \r
            body""";

    private final FailingTimeSource mTime = new FailingTimeSource();
    private final GatewayMetrics mMetrics = new GatewayMetrics();
    private EventLoopGroup mLoops;
    private EventLoop mLoop;
    private ServerSocket mUpstream;
    private CallerServer mCallers;
    private InetSocketAddress mAddress;

    @BeforeMethod
    public void open() throws Exception {
        mUpstream = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread upstream = new Thread(this::respondToAll, "upstream");
        upstream.setDaemon(true);
        upstream.start();
        mLoops = new NioEventLoopGroup(1);
        mLoop = mLoops.next();
        mAddress = freeAddress();
        Gateway gateway = new Gateway(settings(), mTime, mLoop, mMetrics);
        mCallers = new CallerServer(gateway, mLoops);
        mCallers.bind(mAddress);
        mLoop.submit(() -> configure(gateway)).get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws Exception {
        mUpstream.close();
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
    }

    private GatewaySettings settings() {
        return new GatewaySettings(
                "gateway-1",
                new DataCentreId("north"),
                Map.of(new DataCentreId("north"), "region-1"),
                mAddress,
                mAddress,
                Optional.empty(),
                mAddress,
                100,
                mAddress,
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

    private void configure(Gateway gateway) {
        ConfigListener config = new ConfigListener(gateway);
        config.onSnapshot(Map.of("config", CONFIG.getBytes(StandardCharsets.UTF_8)));
        config.onUpToDate(ClockReading.now(mTime));
        UpstreamListener upstreams = new UpstreamListener(gateway);
        String announcement = ANNOUNCEMENT.formatted(mUpstream.getLocalPort());
        upstreams.onSnapshot(Map.of("orders-1", announcement.getBytes(StandardCharsets.UTF_8)));
        upstreams.onUpToDate(ClockReading.now(mTime));
    }

    private void respondToAll() {
        try {
            while (true) {
                Socket connection = mUpstream.accept();
                Thread thread = new Thread(() -> respond(connection), "upstream-connection");
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException ignored) {
            // The upstream was closed.
        }
    }

    private static void respond(Socket connection) {
        try (connection) {
            while (true) {
                String head = readHead(connection.getInputStream());
                if (head.isEmpty()) {
                    return;
                }
                String id = head.replaceAll("(?is).*x-boragethread-request-id: ([^\r]*).*", "$1");
                connection
                        .getOutputStream()
                        .write(RESPONSE.formatted(id).getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException ignored) {
            // The gateway closed the connection.
        }
    }

    // Guards against requests without an end because any callback on their way threw.
    @Test
    public void everyRequestHasAnEndAndTheNextIsServed() throws Exception {
        List<String> wrong = new ArrayList<>();
        int reading = 1;
        boolean failed = true;
        while (failed && reading < MAX_READINGS) {
            int status = call(reading, reading);
            failed = mTime.hasFailed();
            if (!Set.of(200, 502, CLOSED).contains(status)) {
                wrong.add("reading %d: status %d".formatted(reading, status));
            }
            int next = call(reading + MAX_READINGS, NEVER);
            if (next != 200) {
                wrong.add("after reading %d: status %d".formatted(reading, next));
            }
            reading++;
        }
        assertEquals(wrong, List.of(), wrong.toString());
        assertTrue(reading > 10, "readings: " + reading);
        assertTrue(mMetrics.scrape().contains("callback_failures_total{owner=\"request\"}"));
        Integer open = mLoop.submit(mCallers::connectionCount).get(WAIT_SECONDS, TimeUnit.SECONDS);
        assertEquals(open.intValue(), 0);
    }

    /** Returns the status of a response, {@link #CLOSED}, or {@link #NEVER} if there is none. */
    private int call(int id, int failingReading) throws Exception {
        mLoop.submit(() -> mTime.failAt(failingReading)).get(WAIT_SECONDS, TimeUnit.SECONDS);
        try (Socket connection = new Socket(mAddress.getAddress(), mAddress.getPort())) {
            connection.setSoTimeout(MAX_RESPONSE_MILLIS);
            connection
                    .getOutputStream()
                    .write(REQUEST.formatted(id).getBytes(StandardCharsets.US_ASCII));
            String head = readHead(connection.getInputStream());
            return head.isEmpty() ? CLOSED : Integer.parseInt(head.split(" ")[1]);
        } catch (SocketTimeoutException e) {
            return NEVER;
        } catch (IOException e) {
            return CLOSED;
        }
    }

    private static String readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            int next = input.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        return head.toString();
    }

    /** The clocks of the operating system, of which one chosen reading throws. */
    private static final class FailingTimeSource implements TimeSource {

        private final TimeSource mClock = new SystemTimeSource();
        private volatile int mReadingsLeft = NEVER;

        void failAt(int reading) {
            mReadingsLeft = reading;
        }

        boolean hasFailed() {
            return mReadingsLeft == 0;
        }

        private void count() {
            if (mReadingsLeft > 0) {
                mReadingsLeft--;
                if (mReadingsLeft == 0) {
                    throw new IllegalStateException("the clock can't be read");
                }
            }
        }

        @Override
        public Instant instant() {
            count();
            return mClock.instant();
        }

        @Override
        public long millis() {
            count();
            return mClock.millis();
        }

        @Override
        public long nanoTime() {
            count();
            return mClock.nanoTime();
        }
    }
}
