package org.boragethread.wire.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.boragethread.core.time.SystemTimeSource;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how calls end whose response body is delimited by the end of the connection. */
public class HttpConnectionTest {

    private static final int WAIT_SECONDS = 10;

    /** More than the socket buffers of both sides hold. */
    private static final int LARGE_BODY_BYTES = 32 << 20;

    /** Less than the socket buffers of both sides hold. */
    private static final int BUFFERED_BODY_BYTES = 256 << 10;

    /** Time in which a call ends that waits for nothing. */
    private static final int SHORT_MILLIS = 200;

    private static final byte[] HEAD =
            "HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] BODY_PART = "part".getBytes(StandardCharsets.US_ASCII);

    private EventLoopGroup mLoops;
    private ServerSocket mServer;

    @BeforeMethod
    public void open() throws IOException {
        mLoops = new NioEventLoopGroup(1);
        mServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    @AfterMethod
    public void close() throws IOException {
        mServer.close();
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    public void closedConnectionEndsBody() throws Exception {
        Recorder recorder = new Recorder();
        send(recorder, HttpMethod.POST, 0);
        try (Socket connection = acceptAndRespond(recorder)) {
            connection.shutdownOutput();
            assertEquals(recorder.outcome(), "complete");
        }
    }

    @Test
    public void responseToHeadIsCompleteWithoutBodyAndLength() throws Exception {
        Recorder recorder = new Recorder();
        send(recorder, HttpMethod.HEAD, 0);
        try (Socket connection = mServer.accept()) {
            connection.getOutputStream().write(HEAD);
            assertEquals(recorder.outcome(), "complete");
        }
    }

    /** The part of a body that preceded a reset was taken for the whole body. */
    @Test
    public void resetConnectionDoesNotEndBody() throws Exception {
        Recorder recorder = new Recorder();
        send(recorder, HttpMethod.POST, 0);
        reset(acceptAndRespond(recorder));
        assertTrue(recorder.outcome().startsWith("BROKEN"), recorder.outcome());
    }

    /** A reset that was noticed while writing was taken for the end of the response. */
    @Test
    public void resetWhileRequestIsWrittenDoesNotEndBody() throws Exception {
        Recorder recorder = new Recorder();
        send(recorder, HttpMethod.POST, LARGE_BODY_BYTES);
        reset(acceptAndRespond(recorder));
        assertTrue(recorder.outcome().startsWith("BROKEN"), recorder.outcome());
    }

    /** The end of the peer's data hid a reset that followed while the request was written. */
    @Test
    public void resetAfterEndOfDataWhileRequestIsWrittenDoesNotEndBody() throws Exception {
        Recorder recorder = new Recorder();
        send(recorder, HttpMethod.POST, LARGE_BODY_BYTES);
        Socket connection = acceptAndRespond(recorder);
        connection.shutdownOutput();
        recorder.assertNoOutcomeWithin(SHORT_MILLIS);
        reset(connection);
        assertTrue(recorder.outcome().startsWith("BROKEN"), recorder.outcome());
    }

    /** A peer that closes a connection with data under way resets it. */
    @Test
    public void closeWhileRequestIsWrittenDoesNotEndBody() throws Exception {
        Recorder recorder = new Recorder();
        send(recorder, HttpMethod.POST, LARGE_BODY_BYTES);
        acceptAndRespond(recorder).close();
        assertTrue(recorder.outcome().startsWith("BROKEN"), recorder.outcome());
    }

    /** The socket buffers hold the request, so that the call has nothing left to write. */
    @Test
    public void closeWithUnreadRequestDoesNotEndBody() throws Exception {
        Recorder recorder = new Recorder();
        send(recorder, HttpMethod.POST, BUFFERED_BODY_BYTES);
        acceptAndRespond(recorder).close();
        assertTrue(recorder.outcome().startsWith("BROKEN"), recorder.outcome());
    }

    @Test
    public void endOfDataEndsBodyOnceRequestIsWritten() throws Exception {
        Recorder recorder = new Recorder();
        send(recorder, HttpMethod.POST, LARGE_BODY_BYTES);
        try (Socket connection = acceptAndRespond(recorder)) {
            connection.shutdownOutput();
            connection.getInputStream().skipNBytes(LARGE_BODY_BYTES);
            assertEquals(recorder.outcome(), "complete");
        }
    }

    @Test
    public void endOfDataEndsBodyOfAPeerThatReadsNoMore() throws Exception {
        Recorder recorder = new Recorder();
        send(recorder, HttpMethod.POST, LARGE_BODY_BYTES);
        try (Socket connection = acceptAndRespond(recorder)) {
            connection.shutdownOutput();
            assertEquals(recorder.outcome(), "complete");
        }
    }

    @Test
    public void lengthEndsBodyWhileRequestIsWritten() throws Exception {
        Recorder recorder = new Recorder();
        send(recorder, HttpMethod.POST, LARGE_BODY_BYTES);
        try (Socket connection = mServer.accept()) {
            String response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart";
            connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            assertEquals(recorder.outcome(), "complete");
        }
    }

    /** Heads after which 4 bytes of a body are not the whole body before the connection ends. */
    @DataProvider
    private static Object[] headsOfPartialBodies() {
        return new Object[] {
            "HTTP/1.1 200 OK\r\n\r\n",
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
            "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\n",
            "HTTP/1.0 200 OK\r\n\r\n",
            "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\n",
            "HTTP/1.1 404 Not Found\r\n\r\n",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
            "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n",
        };
    }

    // Guards against a part of a response that counts as a complete one, in any framing.
    @Test(dataProvider = "headsOfPartialBodies")
    public void partOfABodyIsNotComplete(String head) throws Exception {
        for (Ending ending : Ending.values()) {
            Recorder recorder = new Recorder();
            send(recorder, HttpMethod.POST, LARGE_BODY_BYTES);
            Socket connection =
                    acceptAndRespond(recorder, head.getBytes(StandardCharsets.US_ASCII));
            ending.end(connection);
            String outcome = recorder.outcome();
            assertTrue(outcome.startsWith("BROKEN"), ending + " " + outcome);
        }
    }

    /** How a peer ends a connection on which a request is still being written. */
    private enum Ending {
        RESET {
            @Override
            void end(Socket connection) throws IOException {
                reset(connection);
            }
        },
        CLOSE {
            @Override
            void end(Socket connection) throws IOException {
                connection.close();
            }
        },
        RESET_AFTER_END {
            @Override
            void end(Socket connection) throws IOException {
                connection.shutdownOutput();
                reset(connection);
            }
        };

        abstract void end(Socket connection) throws IOException;
    }

    // Guards against a connection that is used again after an invalid head.
    @Test
    public void invalidHeadClosesTheConnection() throws Exception {
        Recorder recorder = new Recorder();
        send(recorder, HttpMethod.POST, 0);
        try (Socket connection = mServer.accept()) {
            connection.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
            String response = "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nbody";
            connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            String detail = "the status code is not a number from 100 to 599";
            assertEquals(recorder.outcome(), "PROTOCOL: the response is not valid HTTP: " + detail);
            connection.getInputStream().transferTo(OutputStream.nullOutputStream());
        }
    }

    /** A connection that this process closed itself was taken for the end of the response. */
    @Test
    public void stopOfEventLoopDoesNotEndBody() throws Exception {
        Recorder recorder = new Recorder();
        send(recorder, HttpMethod.POST, 0);
        try (Socket connection = acceptAndRespond(recorder)) {
            mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            assertTrue(recorder.outcome().startsWith("BROKEN"), recorder.outcome());
            assertTrue(connection.isConnected());
        }
    }

    private void send(Recorder recorder, HttpMethod method, int bodyBytes) {
        EventLoop loop = mLoops.next();
        loop.execute(
                () -> {
                    FullHttpRequest request =
                            new DefaultFullHttpRequest(
                                    HttpVersion.HTTP_1_1,
                                    method,
                                    "/",
                                    Unpooled.buffer(bodyBytes).writeZero(bodyBytes));
                    request.headers().set("Content-Length", bodyBytes);
                    HttpCall call =
                            new HttpCall(
                                    new InetSocketAddress(
                                            mServer.getInetAddress(), mServer.getLocalPort()),
                                    request,
                                    true,
                                    Duration.ofSeconds(WAIT_SECONDS),
                                    Optional.empty());
                    new HttpConnectionPool(loop, new SystemTimeSource()).send(call, recorder);
                });
    }

    /** Responds before the request is read, and waits until the response has arrived. */
    private Socket acceptAndRespond(Recorder recorder) throws Exception {
        return acceptAndRespond(recorder, HEAD);
    }

    private Socket acceptAndRespond(Recorder recorder, byte[] head) throws Exception {
        Socket connection = mServer.accept();
        connection.getOutputStream().write(head);
        connection.getOutputStream().write(BODY_PART);
        connection.getOutputStream().flush();
        recorder.mBodyReceived.get(WAIT_SECONDS, TimeUnit.SECONDS);
        return connection;
    }

    private static void reset(Socket connection) throws IOException {
        connection.setSoLinger(true, 0);
        connection.close();
    }

    /** Records how a call ended. */
    private static final class Recorder implements CallListener {

        private final CompletableFuture<Void> mBodyReceived = new CompletableFuture<>();
        private final CompletableFuture<String> mOutcome = new CompletableFuture<>();

        void assertNoOutcomeWithin(long millis) throws Exception {
            try {
                fail(mOutcome.get(millis, TimeUnit.MILLISECONDS));
            } catch (TimeoutException e) {
                assertFalse(mOutcome.isDone());
            }
        }

        String outcome() throws Exception {
            return mOutcome.get(WAIT_SECONDS, TimeUnit.SECONDS);
        }

        @Override
        public void onHead(HttpResponse head) {}

        @Override
        public void onBody(ByteBuf data) {
            mBodyReceived.complete(null);
        }

        @Override
        public void onEnd() {
            mOutcome.complete("complete");
        }

        @Override
        public void onFailure(CallFailure failure) {
            mOutcome.complete(failure.kind() + ": " + failure.detail());
        }
    }
}
