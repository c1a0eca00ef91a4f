package org.boragethread.wire.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.boragethread.core.callback.CallbackGuard;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.SystemTimeSource;
import org.boragethread.wire.http.HttpConnectionPool.ProbeResult;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests calls and probes whose connection attempt fails at once, or ends with the pool. */
public class ConnectionFailureTest {

    private static final int WAIT_SECONDS = 10;
    private static final int MAX_BYTES = 1024;

    private final FullHttpRequest mRequest =
            new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, HttpMethod.POST, "/", Unpooled.buffer(8).writeZero(8));
    private EventLoopGroup mLoops;
    private EventLoop mLoop;
    private Duration mConnectTimeout;
    private InetSocketAddress mAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

    @BeforeMethod
    public void open() {
        mLoops = new NioEventLoopGroup(1);
        mLoop = mLoops.next();
        mRequest.retain();
        mConnectTimeout = Duration.ofSeconds(WAIT_SECONDS);
    }

    @AfterMethod
    public void close() {
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Returns factories of channels that can't be created, and that can't be registered. */
    @DataProvider
    public Object[][] channels() {
        ChannelFactory<SocketChannel> none =
                () -> {
                    throw new ChannelException("too many open files");
                };
        ChannelFactory<SocketChannel> closed = ConnectionFailureTest::createClosed;
        return new Object[][] {{none}, {closed}};
    }

    private static SocketChannel createClosed() {
        NioSocketChannel channel = new NioSocketChannel();
        channel.unsafe().closeForcibly();
        return channel;
    }

    // Guards against a response that is delivered before its timer is set, or on another thread.
    @Test(dataProvider = "channels")
    public void callIsReportedLaterOnTheEventLoop(ChannelFactory<SocketChannel> channels)
            throws Exception {
        int references = mRequest.refCnt();
        List<String> trace = run(channels, this::fetch);
        assertEquals(trace, List.of("sent", "CONNECT maybeSent=false on the loop"));
        assertEquals(mRequest.refCnt(), references - 1);
    }

    // Guards against a response that is delivered before its timer is set, at the end of a process.
    @Test
    public void callWhileTheEventLoopShutsDownIsReportedLater() throws Exception {
        mLoops.shutdownGracefully(1, WAIT_SECONDS, TimeUnit.SECONDS);
        List<String> trace = run(NioSocketChannel::new, this::fetch);
        assertEquals(trace, List.of("sent", "CONNECT maybeSent=false on the loop"));
    }

    // Guards against a closed port that counts as an upstream that may still be running.
    @Test
    public void callToAClosedPortIsRefused() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            mAddress = new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
        }
        List<String> trace = run(NioSocketChannel::new, this::fetch);
        assertEquals(trace, List.of("sent", "REFUSED maybeSent=false on the loop"));
    }

    // Guards against upstreams without power that count as refusing connections.
    @Test
    public void callToAPeerThatDoesNotRespondIsNotRefused() throws Exception {
        List<java.nio.channels.SocketChannel> waiting = new ArrayList<>();
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            mAddress = new InetSocketAddress(full.getInetAddress(), full.getLocalPort());
            mConnectTimeout = Duration.ofMillis(300);
            // The kernel ignores further connections to a socket whose backlog is full.
            for (int i = 0; i < 4; i++) {
                var channel = java.nio.channels.SocketChannel.open();
                waiting.add(channel);
                channel.configureBlocking(false);
                channel.connect(mAddress);
            }
            List<String> trace = run(NioSocketChannel::new, this::fetch);
            assertEquals(trace, List.of("sent", "CONNECT maybeSent=false on the loop"));
        } finally {
            for (var channel : waiting) {
                channel.close();
            }
        }
    }

    // Guards against an upstream that counts as dead until it has responded to a long prompt.
    @Test
    public void establishedConnectionIsReportedBeforeTheResponse() throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            mAddress = new InetSocketAddress(silent.getInetAddress(), silent.getLocalPort());
            List<String> trace = run(NioSocketChannel::new, this::sendUntilConnected);
            assertEquals(trace, List.of("sent", "connected"));
        }
    }

    private void sendUntilConnected(HttpConnectionPool pool, Consumer<String> trace, Runnable end) {
        CallListener listener =
                new CallListener() {
                    @Override
                    public void onConnected() {
                        trace.accept("connected");
                        end.run();
                    }

                    @Override
                    public void onHead(HttpResponse head) {}

                    @Override
                    public void onBody(ByteBuf data) {}

                    @Override
                    public void onEnd() {}

                    @Override
                    public void onFailure(CallFailure failure) {}
                };
        pool.send(createCall(), listener);
        trace.accept("sent");
    }

    private void fetch(HttpConnectionPool pool, Consumer<String> trace, Runnable end) {
        Scheduler scheduler =
                (delay, task) -> {
                    var future = mLoop.schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
                    return () -> future.cancel(false);
                };
        BufferedResponse.fetch(
                pool,
                scheduler,
                createCall(),
                Duration.ofSeconds(1),
                MAX_BYTES,
                response -> {
                    trace.accept(describe(response));
                    end.run();
                });
        trace.accept("sent");
    }

    private HttpCall createCall() {
        return new HttpCall(mAddress, mRequest, true, mConnectTimeout, Optional.empty());
    }

    private String describe(Either<CallFailure, BufferedResponse> response) {
        CallFailure failure = response.getLeft();
        return "%s maybeSent=%s %s"
                .formatted(failure.kind(), failure.maybeSent(), describeThread());
    }

    private String describeThread() {
        return mLoop.inEventLoop() ? "on the loop" : "on another thread";
    }

    // Guards against a probe without a result, after which no crash of the upstream is noticed.
    @Test(dataProvider = "channels")
    public void probeIsReportedLaterOnTheEventLoop(ChannelFactory<SocketChannel> channels)
            throws Exception {
        List<String> trace = run(channels, this::probe);
        assertEquals(trace, List.of("sent", "UNKNOWN on the loop"));
    }

    private void probe(HttpConnectionPool pool, Consumer<String> trace, Runnable end) {
        pool.probe(
                mAddress,
                Duration.ofSeconds(1),
                (ProbeResult result) -> {
                    trace.accept(result + " " + describeThread());
                    end.run();
                });
        trace.accept("sent");
    }

    // Guards against a caller that can't cancel a call whose connection could not be opened.
    @Test(dataProvider = "channels")
    public void callCanBeCancelled(ChannelFactory<SocketChannel> channels) throws Exception {
        int references = mRequest.refCnt();
        List<String> trace = run(channels, this::sendAndCancel);
        assertEquals(trace, List.of("sent", "cancelled"));
        mLoop.submit(() -> {}).get(WAIT_SECONDS, TimeUnit.SECONDS);
        assertEquals(mRequest.refCnt(), references - 1);
    }

    private void sendAndCancel(HttpConnectionPool pool, Consumer<String> trace, Runnable end) {
        CallControl control = pool.send(createCall(), new FailureListener(trace));
        trace.accept("sent");
        control.cancel();
        trace.accept("cancelled");
        mLoop.execute(end);
    }

    // Guards against calls that still wait for their results when the event loop ends.
    @Test
    public void closedPoolFailsCallsThatConnectAndLaterOnes() throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            mAddress = new InetSocketAddress(silent.getInetAddress(), silent.getLocalPort());
            mRequest.retain();
            List<String> trace = run(NioSocketChannel::new, this::sendAroundClose);
            assertEquals(trace, List.of("BROKEN not sent", "closed", "sent", "CONNECT not sent"));
        }
    }

    // Guards against a call that waits for the response to a request that could not be written.
    @Test
    public void callWhoseRequestCannotBeWrittenFails() throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            mAddress = new InetSocketAddress(silent.getInetAddress(), silent.getLocalPort());
            List<String> trace = run(NioSocketChannel::new, this::sendUnwritable);
            assertEquals(trace, List.of("sent", "BROKEN maybe sent"));
        }
    }

    private void sendUnwritable(HttpConnectionPool pool, Consumer<String> trace, Runnable end) {
        FullHttpRequest released =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.POST,
                        "/",
                        Unpooled.buffer(8).writeZero(8));
        released.release();
        HttpCall call =
                new HttpCall(
                        mAddress,
                        released,
                        true,
                        Duration.ofSeconds(WAIT_SECONDS),
                        Optional.empty());
        pool.send(
                call,
                new FailureListener(
                        event -> {
                            trace.accept(event);
                            end.run();
                        }));
        trace.accept("sent");
    }

    private void sendAroundClose(HttpConnectionPool pool, Consumer<String> trace, Runnable end) {
        pool.send(createCall(), new FailureListener(trace));
        pool.close();
        trace.accept("closed");
        pool.send(createCall(), new FailureListener(trace));
        trace.accept("sent");
        mLoop.execute(end);
    }

    // Guards against senders that throw because the event loop has ended.
    @Test
    public void callAfterTheEndOfTheEventLoopDoesNotThrow() {
        List<Throwable> failures = new ArrayList<>();
        HttpConnectionPool pool =
                new HttpConnectionPool(
                        mLoop, new SystemTimeSource(), new CallbackGuard(failures::add));
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        List<String> trace = new ArrayList<>();
        pool.send(createCall(), new FailureListener(trace::add)).cancel();
        assertEquals(trace, List.of());
        assertTrue(failures.isEmpty(), failures.toString());
    }

    private interface Action {
        void run(HttpConnectionPool pool, Consumer<String> trace, Runnable end);
    }

    /** Runs an action on the event loop until it ends; returns what happened, in order. */
    private List<String> run(ChannelFactory<SocketChannel> channels, Action action)
            throws Exception {
        List<String> trace = new ArrayList<>();
        CompletableFuture<List<String>> result = new CompletableFuture<>();
        CallbackGuard guard = new CallbackGuard(result::completeExceptionally);
        mLoop.execute(
                () -> {
                    HttpConnectionPool pool =
                            new HttpConnectionPool(mLoop, new SystemTimeSource(), guard, channels);
                    guard.run(
                            result::completeExceptionally,
                            () ->
                                    action.run(
                                            pool,
                                            trace::add,
                                            () -> mLoop.execute(() -> result.complete(trace))));
                });
        return result.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }
}
