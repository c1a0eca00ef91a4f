package org.boragethread.entry.gateway;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.boragethread.core.time.SystemTimeSource;
import org.boragethread.core.upstream.ColdRateShare.ColdRateBound;
import org.boragethread.model.place.DataCentreId;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests a stop whose event loop was busy while callers connected and sent requests. */
public class CallerServerTest {

    /** More than are accepted at once. */
    private static final int CONNECTIONS = 40;

    private static final int WAIT_SECONDS = 10;

    /** No configuration is known, so every request is refused. */
    private static final String REFUSED = "HTTP/1.1 503";

    private static final String REQUEST =
            "GET /x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Boragethread-Request-Id: id-1\r\n\r\n";

    private final List<Socket> mConnections = new ArrayList<>();
    private EventLoopGroup mLoops;
    private EventLoop mLoop;
    private CallerServer mCallers;
    private InetSocketAddress mAddress;
    private CountDownLatch mReleased;

    @BeforeMethod
    public void open() throws Exception {
        mLoops = new NioEventLoopGroup(1);
        mLoop = mLoops.next();
        mAddress = freeAddress();
        mReleased = new CountDownLatch(1);
        mConnections.clear();
        Gateway gateway =
                new Gateway(settings(), new SystemTimeSource(), mLoop, new GatewayMetrics());
        mCallers = new CallerServer(gateway, mLoops);
        mCallers.bind(mAddress);
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws Exception {
        mReleased.countDown();
        for (Socket connection : mConnections) {
            connection.close();
        }
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

    private void connect() throws IOException {
        Socket connection = new Socket(mAddress.getAddress(), mAddress.getPort());
        connection.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        mConnections.add(connection);
    }

    /** Keeps the event loop busy until it is released. */
    private void occupyLoop() throws InterruptedException {
        CountDownLatch busy = new CountDownLatch(1);
        mLoop.execute(
                () -> {
                    busy.countDown();
                    try {
                        mReleased.await(WAIT_SECONDS, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        busy.await(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private void sendAll() throws IOException {
        for (Socket connection : mConnections) {
            connection.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
        }
    }

    /** Returns the beginning of each connection's response, or how it failed. */
    private List<String> responses() {
        List<String> responses = new ArrayList<>();
        for (Socket connection : mConnections) {
            try {
                byte[] start = connection.getInputStream().readNBytes(REFUSED.length());
                responses.add(new String(start, StandardCharsets.US_ASCII));
            } catch (IOException e) {
                responses.add(e.toString());
            }
        }
        return responses;
    }

    // Guards against connections closed as idle whose request has arrived and is not read yet.
    @Test
    public void requestThatWaitsToBeReadIsAnsweredAtAStop() throws Exception {
        connect();
        awaitAccepted();
        occupyLoop();
        mLoop.execute(() -> mCallers.closeIdle(Duration.ZERO));
        sendAll();
        mReleased.countDown();
        assertEquals(responses(), List.of(REFUSED));
    }

    private void awaitAccepted() throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (mLoop.submit(mCallers::connectionCount).get() == 0 && System.nanoTime() < end) {
            Thread.onSpinWait();
        }
    }

    // Guards against requests that are lost because their connections still wait to be accepted.
    @Test
    public void connectionsThatWaitToBeAcceptedAreServedAtAStop() throws Exception {
        occupyLoop();
        for (int i = 0; i < CONNECTIONS; i++) {
            connect();
        }
        sendAll();
        mLoop.execute(mCallers::stopAccepting);
        mReleased.countDown();
        assertEquals(responses(), Collections.nCopies(CONNECTIONS, REFUSED));
    }
}
