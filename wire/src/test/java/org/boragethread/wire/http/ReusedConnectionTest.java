package org.boragethread.wire.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.boragethread.core.time.SystemTimeSource;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests calls on connections over which the peer sends more than its responses. */
public class ReusedConnectionTest {

    private static final int WAIT_SECONDS = 10;
    private static final String ID = "X-Id";

    /** Time for which an idle connection is kept. */
    private static final Duration IDLE_TIME = Duration.ofSeconds(4);

    /** What the peer sends beyond its responses. */
    private enum Extra {
        WHOLE_COPY(response("1", "answer-1")),
        COPY_WITH_OTHER_BODY(response("1", "changed!")),
        COPY_WITHOUT_ID("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nanswer-1"),
        CHUNKED_COPY(
                "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "8\r\nanswer-1\r\n0\r\n\r\n"),
        TWO_COPIES(response("1", "answer-1") + response("1", "answer-1")),
        ONE_BYTE("x"),
        LINE_END("\r\n"),
        HALF_A_HEAD("HTTP/1.1 200 OK\r\nX-I"),
        INFORMATIONAL("HTTP/1.1 100 Continue\r\n\r\n");

        final String mText;

        Extra(String text) {
            mText = text;
        }
    }

    /** When the peer sends it. */
    private enum Moment {
        /** In one piece with the first response. */
        WITH_FIRST_RESPONSE,
        /** After the first response, while the connection is idle. */
        WHILE_IDLE,
        /** After the second request has arrived, before its response. */
        BEFORE_SECOND_RESPONSE
    }

    private EventLoopGroup mLoops;
    private HttpConnectionPool mPool;
    private ServerSocket mServer;
    private ExecutorService mThreads;
    private Extra mExtra;
    private Moment mMoment;
    private CountDownLatch mExtraDue = new CountDownLatch(0);

    private static String response(String id, String body) {
        return "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s"
                .formatted(ID, id, body.length(), body);
    }

    @DataProvider
    private static Iterator<Object[]> cases() {
        List<Object[]> cases = new ArrayList<>();
        for (Extra extra : Extra.values()) {
            for (Moment moment : Moment.values()) {
                for (boolean correlated : new boolean[] {false, true}) {
                    boolean idNeeded = moment == Moment.BEFORE_SECOND_RESPONSE;
                    if (!idNeeded || correlated && isRecognizable(extra)) {
                        cases.add(new Object[] {extra, moment, correlated});
                    }
                }
            }
        }
        return cases.iterator();
    }

    /** Without an ID of another request, nothing tells a copy from the response that is due. */
    private static boolean isRecognizable(Extra extra) {
        return switch (extra) {
            case COPY_WITHOUT_ID, ONE_BYTE, HALF_A_HEAD -> false;
            default -> true;
        };
    }

    @BeforeMethod
    public void open() throws IOException {
        mExtraDue = new CountDownLatch(0);
        mLoops = new NioEventLoopGroup(1);
        mPool = new HttpConnectionPool(mLoops.next(), new SystemTimeSource());
        mServer = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        mThreads = Executors.newCachedThreadPool();
        mThreads.execute(this::accept);
    }

    @AfterMethod
    public void close() throws IOException {
        mServer.close();
        mThreads.shutdownNow();
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket connection = mServer.accept();
                mThreads.execute(() -> serve(connection));
            } catch (IOException e) {
                // The test closes the socket to stop this thread.
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    connection.getInputStream(), StandardCharsets.US_ASCII));
            for (String id = readId(reader); !id.isEmpty(); id = readId(reader)) {
                respond(connection.getOutputStream(), id);
            }
        } catch (IOException e) {
            // The client has closed the connection; the test checks what its calls received.
        }
    }

    private void respond(OutputStream output, String id) throws IOException {
        String response = response(id, "answer-" + id);
        boolean first = id.equals("1");
        if (mMoment == Moment.BEFORE_SECOND_RESPONSE && !first) {
            response = mExtra.mText + response;
        } else if (mMoment == Moment.WITH_FIRST_RESPONSE && first) {
            response += mExtra.mText;
        }
        write(output, response);
        if (mMoment == Moment.WHILE_IDLE && first) {
            awaitQuietly(mExtraDue);
            write(output, mExtra.mText);
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await(WAIT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.US_ASCII));
        output.flush();
    }

    /** Reads the head of a request; returns its ID, or nothing at the end of the connection. */
    private static String readId(BufferedReader reader) throws IOException {
        String id = "";
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            if (line.isEmpty()) {
                return id;
            }
            if (line.toLowerCase(Locale.ROOT).startsWith("x-id:")) {
                id = line.substring("x-id:".length()).strip();
            }
        }
        return "";
    }

    // Guards against a late or second copy of a response that the next caller receives.
    @Test(dataProvider = "cases")
    public void nextCallReceivesItsOwnResponse(Extra extra, Moment moment, boolean correlated)
            throws Exception {
        mExtra = extra;
        mMoment = moment;
        Recorder first = new Recorder();
        Recorder second = new Recorder();
        boolean sendAtOnce = moment == Moment.WITH_FIRST_RESPONSE;
        first.mOnEnd = sendAtOnce ? () -> send("2", correlated, second) : () -> {};
        mLoops.next().execute(() -> send("1", correlated, first));
        assertEquals(first.body(), "answer-1");
        if (!sendAtOnce) {
            // A call that is sent before bytes on the idle connection arrive cannot know of them.
            awaitIdleConnections(moment == Moment.WHILE_IDLE ? 0 : 1);
            mLoops.next().execute(() -> send("2", correlated, second));
        }
        assertEquals(second.body(), "answer-2");
    }

    // Guards against a copy that arrives in parts and is completed during the next call.
    @Test(dataProvider = "extras")
    public void idleConnectionOnWhichBytesArriveIsClosedAtOnce(Extra extra) throws Exception {
        mExtra = extra;
        mMoment = Moment.WHILE_IDLE;
        mExtraDue = new CountDownLatch(1);
        Recorder first = new Recorder();
        mLoops.next().execute(() -> send("1", true, first));
        assertEquals(first.body(), "answer-1");
        awaitIdleConnections(1);
        mExtraDue.countDown();
        long end = System.nanoTime() + IDLE_TIME.toNanos() / 2;
        while (idleConnections() > 0) {
            assertTrue(System.nanoTime() < end, "the connection is still kept");
        }
    }

    @DataProvider
    private static Object[] extras() {
        return Extra.values();
    }

    // Guards against a response of unknown origin that a call receives as its own.
    @Test(dataProvider = "extras")
    public void callReceivesItsOwnResponseOrNone(Extra extra) throws Exception {
        mExtra = extra;
        mMoment = Moment.BEFORE_SECOND_RESPONSE;
        Recorder first = new Recorder();
        Recorder second = new Recorder();
        mLoops.next().execute(() -> send("1", true, first));
        assertEquals(first.body(), "answer-1");
        awaitIdleConnections(1);
        mLoops.next().execute(() -> send("2", true, second));
        String outcome = second.body();
        assertTrue(outcome.equals("answer-2") || outcome.startsWith("failed: "), outcome);
    }

    private int idleConnections() throws Exception {
        return mLoops.next().submit(() -> mPool.idleConnections()).get();
    }

    private void awaitIdleConnections(int count) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (idleConnections() != count) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("the number of idle connections is not " + count);
            }
        }
    }

    private void send(String id, boolean correlated, Recorder recorder) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER);
        request.headers().set(ID, id);
        HttpCall call =
                new HttpCall(
                        new InetSocketAddress(mServer.getInetAddress(), mServer.getLocalPort()),
                        request,
                        false,
                        Duration.ofSeconds(WAIT_SECONDS),
                        correlated ? Optional.of(ID) : Optional.empty());
        mPool.send(call, recorder);
    }

    /** Records the response to a call. */
    private static final class Recorder implements CallListener {

        private final CompletableFuture<String> mOutcome = new CompletableFuture<>();
        private final StringBuilder mBody = new StringBuilder();
        private Runnable mOnEnd = () -> {};

        String body() throws Exception {
            return mOutcome.get(WAIT_SECONDS, TimeUnit.SECONDS);
        }

        @Override
        public void onHead(HttpResponse head) {
            // The body tells the responses apart.
        }

        @Override
        public void onBody(ByteBuf data) {
            mBody.append(data.toString(StandardCharsets.US_ASCII));
        }

        @Override
        public void onEnd() {
            mOnEnd.run();
            mOutcome.complete(mBody.toString());
        }

        @Override
        public void onFailure(CallFailure failure) {
            mOutcome.complete("failed: " + failure);
        }
    }
}
