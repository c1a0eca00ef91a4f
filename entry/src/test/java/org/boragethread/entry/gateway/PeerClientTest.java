package org.boragethread.entry.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.logging.log4j.LogManager;
import org.boragethread.core.stage.PendingPiece;
import org.boragethread.core.stage.PieceListener;
import org.boragethread.core.stage.PieceUrgency;
import org.boragethread.core.stage.PieceWork;
import org.boragethread.core.stage.ResultLocation;
import org.boragethread.core.stage.StageFailure;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.SystemTimeSource;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.process.log.EventLog;
import org.boragethread.wire.http.HttpConnectionPool;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link PeerClient} against a peer that confirms pieces and never finishes them. */
public class PeerClientTest {

    private static final int WAIT_SECONDS = 10;
    private static final String ACCEPTED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static final String CHUNK = "4000\r\n" + "x".repeat(0x4000) + "\r\n";

    private final TimeSource mTime = new SystemTimeSource();
    private EventLoopGroup mLoops;
    private ServerSocket mServer;
    private volatile boolean mEndless;

    @BeforeMethod
    public void openPeer() throws IOException {
        mEndless = false;
        mLoops = new NioEventLoopGroup(1);
        mServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Thread peer = new Thread(this::confirmOnly, "silent-peer");
        peer.setDaemon(true);
        peer.start();
    }

    @AfterMethod
    public void closePeer() throws IOException {
        mServer.close();
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    public void pieceFailsAtDeadlineWithoutFallback() throws Exception {
        CompletableFuture<StageFailure> failure = new CompletableFuture<>();
        AtomicBoolean fallbackRan = new AtomicBoolean();
        EventLoop loop = mLoops.next();
        loop.execute(() -> submit(loop, failure, () -> fallbackRan.set(true)));
        assertEquals(
                failure.get(WAIT_SECONDS, TimeUnit.SECONDS).kind(), StageFailure.Kind.DEADLINE);
        assertFalse(fallbackRan.get(), "a peer that confirmed the pieces must not be avoided");
    }

    // Guards against a peer, or whoever has its address by now, that fills the memory.
    @Test
    public void responseWithoutEndIsGivenUp() throws Exception {
        mEndless = true;
        CompletableFuture<StageFailure> failure = new CompletableFuture<>();
        CompletableFuture<Boolean> fallback = new CompletableFuture<>();
        EventLoop loop = mLoops.next();
        loop.execute(() -> submit(loop, failure, () -> fallback.complete(true)));
        assertTrue(fallback.get(WAIT_SECONDS, TimeUnit.SECONDS));
        assertFalse(failure.isDone());
    }

    private void submit(
            EventLoop loop, CompletableFuture<StageFailure> failure, Runnable fallback) {
        HttpConnectionPool connections = new HttpConnectionPool(loop, mTime);
        Scheduler scheduler =
                (delay, task) -> {
                    var future = loop.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
                    return () -> future.cancel(false);
                };
        EventLog log = new EventLog(LogManager.getLogger(PeerClientTest.class), mTime);
        PeerClient client = new PeerClient(connections, scheduler, mTime, log);
        String peer = "127.0.0.1:" + mServer.getLocalPort();
        client.submit(peer, new GroupId("pieces"), List.of(piece(failure)), fallback);
    }

    private PendingPiece piece(CompletableFuture<StageFailure> failure) {
        long now = mTime.nanoTime();
        long deadline = now + Duration.ofMillis(300).toNanos();
        PieceWork work = new PieceWork("r1", 0, 0, deadline, "key", 1000, Optional.empty());
        PieceListener listener =
                new PieceListener() {
                    @Override
                    public void onCompleted(PieceWork completed, ResultLocation location) {
                        failure.completeExceptionally(
                                new AssertionError("no peer completed this piece"));
                    }

                    @Override
                    public void onFailed(PieceWork failed, StageFailure reason) {
                        failure.complete(reason);
                    }
                };
        PieceUrgency urgency = new PieceUrgency(0, deadline, false, false);
        return new PendingPiece(work, urgency, Optional.empty(), listener, now);
    }

    /** Confirms the pieces, then sends nothing until the client closes the connection. */
    private void confirmOnly() {
        try (Socket socket = mServer.accept()) {
            socket.getInputStream().read(new byte[1024]);
            socket.getOutputStream().write(ACCEPTED.getBytes(StandardCharsets.US_ASCII));
            while (mEndless) {
                socket.getOutputStream().write(CHUNK.getBytes(StandardCharsets.US_ASCII));
            }
            while (socket.getInputStream().read() >= 0) {
                // The remaining request is ignored.
            }
        } catch (IOException e) {
            // The test has closed the server socket.
        }
    }
}
