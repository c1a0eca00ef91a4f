package org.boragethread.wire.http;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.boragethread.core.callback.CallbackGuard;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.SystemTimeSource;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests calls whose listener throws. */
public class ThrowingListenerTest {

    private static final int WAIT_SECONDS = 10;
    private static final int MAX_BYTES = 1024;
    private static final byte[] RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody".getBytes(StandardCharsets.US_ASCII);

    private final Scheduler mScheduler = (delay, task) -> () -> {};
    private final BlockingQueue<String> mTrace = new LinkedBlockingQueue<>();
    private EventLoopGroup mLoops;
    private EventLoop mLoop;
    private ServerSocket mServer;
    private CallbackGuard mGuard;
    private HttpConnectionPool mPool;

    @BeforeMethod
    public void open() throws Exception {
        mTrace.clear();
        mLoops = new NioEventLoopGroup(1);
        mLoop = mLoops.next();
        mServer = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        mGuard = new CallbackGuard(cause -> mTrace.add("process: " + cause.getMessage()));
        mPool = new HttpConnectionPool(mLoop, new SystemTimeSource(), mGuard);
        Thread server = new Thread(this::respondToAll, "server");
        server.setDaemon(true);
        server.start();
    }

    @AfterMethod
    public void close() throws IOException {
        mServer.close();
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private void respondToAll() {
        try {
            while (true) {
                Socket connection = mServer.accept();
                connection.getOutputStream().write(RESPONSE);
            }
        } catch (IOException ignored) {
            // The server was closed.
        }
    }

    /** Returns the method that throws, and what the listener gets after it. */
    @DataProvider
    public Object[][] methods() {
        return new Object[][] {{"head", "LISTENER"}, {"body", "LISTENER"}, {"end", "nothing"}};
    }

    // Guards against requests that wait for a response whose listener threw.
    @Test(dataProvider = "methods")
    public void ownerLearnsOfItAndLaterCallsAreServed(String method, String next) throws Exception {
        send(new Listener(method, mServer.getLocalPort()));
        assertEquals(awaitNext(), "request: " + method);
        if (!next.equals("nothing")) {
            assertEquals(awaitNext(), next);
        }
        send(new Listener("none", mServer.getLocalPort()));
        assertEquals(awaitNext(), "end");
    }

    // Guards against an exception that nobody learns of because the call had failed anyway.
    @Test
    public void ownerLearnsThatTheReportOfAFailureThrew() throws Exception {
        int unused;
        try (ServerSocket closed = new ServerSocket(0)) {
            unused = closed.getLocalPort();
        }
        send(new Listener("failure", unused));
        assertEquals(awaitNext(), "request: failure");
    }

    // Guards against a receiver that waits for its timer because the head could not be handled.
    @Test
    public void receiverOfAWholeResponseGetsAFailureAtOnce() throws Exception {
        runForRequest(
                () ->
                        BufferedResponse.fetch(
                                mPool,
                                mScheduler,
                                createCall(mServer.getLocalPort()),
                                Duration.ofSeconds(WAIT_SECONDS),
                                MAX_BYTES,
                                head -> fail("head"),
                                response -> mTrace.add(response.getLeft().kind().name())));
        assertEquals(awaitNext(), "request: head");
        assertEquals(awaitNext(), "LISTENER");
    }

    // Guards against a failed probe callback that nobody learns of.
    @Test
    public void ownerLearnsThatTheCallbackOfAProbeThrew() throws Exception {
        InetSocketAddress address =
                new InetSocketAddress(mServer.getInetAddress(), mServer.getLocalPort());
        runForRequest(() -> mPool.probe(address, Duration.ofSeconds(1), result -> fail("probe")));
        assertEquals(awaitNext(), "request: probe");
    }

    private String awaitNext() throws InterruptedException {
        return String.valueOf(mTrace.poll(WAIT_SECONDS, TimeUnit.SECONDS));
    }

    private void send(Listener listener) {
        runForRequest(() -> mPool.send(createCall(listener.mPort), listener));
    }

    private void runForRequest(Runnable task) {
        CallbackGuard.Owner request = cause -> mTrace.add("request: " + cause.getMessage());
        mLoop.execute(() -> mGuard.run(request, task));
    }

    private HttpCall createCall(int port) {
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER);
        InetSocketAddress address = new InetSocketAddress(mServer.getInetAddress(), port);
        return new HttpCall(
                address, request, true, Duration.ofSeconds(WAIT_SECONDS), Optional.empty());
    }

    private static void fail(String method) {
        throw new IllegalStateException(method);
    }

    /** Throws in one method, and records how the call ends. */
    private final class Listener implements CallListener {

        private final String mMethod;
        private final int mPort;

        Listener(String method, int port) {
            mMethod = method;
            mPort = port;
        }

        private void throwIn(String method) {
            if (method.equals(mMethod)) {
                fail(method);
            }
        }

        @Override
        public void onHead(HttpResponse head) {
            throwIn("head");
        }

        @Override
        public void onBody(ByteBuf data) {
            throwIn("body");
        }

        @Override
        public void onEnd() {
            throwIn("end");
            mTrace.add("end");
        }

        @Override
        public void onFailure(CallFailure failure) {
            throwIn("failure");
            mTrace.add(failure.kind().name());
        }
    }
}
