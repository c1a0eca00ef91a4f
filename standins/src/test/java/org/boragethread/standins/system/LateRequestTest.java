package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.LockSupport;
import org.boragethread.standins.harness.Await;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.StoreStandIn;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests requests that arrive on open connections during a planned stop. */
public class LateRequestTest {

    private static final String ROUTE =
            """
            {"name":"%1$s","hostname":"127.0.0.1","path_prefix":"/%1$s/","kind":"%2$s",
             "timeout_ms":9000,"target_latency_ms":6000,"gap_aim_ms":6000,"service":"%1$s",
             "max_attempts":1}""";

    private static final String SERVICE = "{\"name\":\"%s\",\"max_conns\":100}";

    private static final List<String> ROUTES =
            List.of(
                    ROUTE.formatted("slow", "unsafe"),
                    ROUTE.formatted("fast", "unsafe"),
                    ROUTE.formatted("new", "unsafe"),
                    ROUTE.formatted("long", "streaming"),
                    ROUTE.formatted("short", "streaming"));

    private static final String REQUEST =
            """
            POST /%s/x HTTP/1.1\r
            Host: 127.0.0.1\r
            Authorization: Token key-1\r
            X-Boragethread-Request-Id: %s\r
            Content-Length: 4\r
            """;

    private static final String DEADLINE = "X-Boragethread-Deadline-Ms: 3000\r\n";
    private static final String BODY = "body";
    private static final String EVENT = "id: 0\ndata: one\n\n";

    /** Responses that show the entry how long a group takes. */
    private static final int EARLIER = 30;

    /** More than a stop has left when it begins. */
    private static final Duration SLOW = Duration.ofMillis(4200);

    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final Set<String> mArrived = ConcurrentHashMap.newKeySet();
    private final List<Socket> mCallers = new ArrayList<>();
    private StoreStandIn mStore;
    private ScriptedUpstream mUpstream;
    private ProcessHarness mHarness;
    private TestGateway mGateway;
    private Socket mSlow;
    private Socket mSlowWithDeadline;
    private Socket mFast;
    private Socket mNew;
    private Socket mLong;
    private Socket mShort;
    private Socket mLast;

    @BeforeClass
    public void start() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        mUpstream = new ScriptedUpstream(0, this::respond);
        List<String> services = new ArrayList<>();
        for (String group : new String[] {"slow", "fast", "new", "long", "short"}) {
            services.add(SERVICE.formatted(group));
            mStore.put(StoreStandIn.UPSTREAM_TOPIC, group + "-1", mUpstream.announcement(group));
        }
        mStore.put(
                StoreStandIn.OPERATOR_TOPIC,
                "config",
                "{\"version\":1,\"routes\":[%s],\"services\":[%s],\"tenants\":[%s]}"
                        .formatted(
                                String.join(",", ROUTES),
                                String.join(",", services),
                                "{\"name\":\"team-1\",\"api_keys\":[\"key-1\"]}"));
        mHarness = new ProcessHarness();
        mGateway = TestGateway.start(mHarness, "gateway-1", mStore.address());
        sendEarlierRequests();
        mSlow = sendHead("slow", "late-slow", "");
        mSlowWithDeadline = sendHead("slow", "late-deadline", DEADLINE);
        mFast = sendHead("fast", "late-fast", "");
        mNew = sendHead("new", "late-new", "");
        mLong = sendHead("long", "late-long", "");
        mShort = sendHead("short", "late-short", "");
        mLast = sendHead("fast", "last-fast", "");
        // A connection is accepted and read in the order of the others.
        assertEquals(mGateway.postWithKey("/fast/x", "last").statusCode(), 200);
        mGateway.process().terminate();
        mGateway.awaitLogLine("\"event\":\"stop\"", "begun");
        for (Socket caller : mCallers) {
            if (caller != mLast) {
                write(caller, BODY.substring(2));
            }
        }
        Await.until("the listener is closed", TestGateway.TIMEOUT, this::isConnectionRefused);
        write(mLast, BODY.substring(2));
    }

    private void sendEarlierRequests() {
        List<CompletableFuture<HttpResponse<String>>> earlier = new ArrayList<>();
        for (String route : new String[] {"slow", "fast", "long", "short"}) {
            // More calls at once than the upstream accepts would be refused.
            earlier.forEach(CompletableFuture::join);
            for (int i = 0; i < EARLIER; i++) {
                String id = "earlier-" + route + "-" + i;
                earlier.add(
                        CompletableFuture.supplyAsync(
                                () -> post("/" + route + "/x", id), mThreads));
            }
        }
        for (CompletableFuture<HttpResponse<String>> response : earlier) {
            assertEquals(response.join().statusCode(), 200, response.join().body());
        }
    }

    private HttpResponse<String> post(String path, String id) {
        try {
            return mGateway.postWithKey(path, id);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private void respond(ScriptedUpstream.Request request, Socket connection) throws IOException {
        mArrived.add(request.id());
        String route = request.path().split("/")[1];
        boolean stream = route.equals("long") || route.equals("short");
        if (stream) {
            write(connection, SteppedCalls.streamHead(request.id()) + EVENT);
        }
        if (route.equals("slow") || route.equals("long")) {
            LockSupport.parkNanos(SLOW.toNanos());
        }
        write(connection, stream ? EVENT : SteppedCalls.head("200 OK", request.id(), 2) + "ok");
        connection.close();
    }

    /** Sends a request up to the middle of its body. */
    private Socket sendHead(String route, String id, String headers) throws IOException {
        Socket caller = new Socket("127.0.0.1", mGateway.port());
        caller.setSoTimeout((int) TestGateway.TIMEOUT.toMillis());
        mCallers.add(caller);
        write(caller, REQUEST.formatted(route, id) + headers + "\r\n" + BODY.substring(0, 2));
        return caller;
    }

    private static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private boolean isConnectionRefused() {
        try (Socket probe = new Socket("127.0.0.1", mGateway.port())) {
            return !probe.isConnected();
        } catch (ConnectException e) {
            return true;
        } catch (IOException e) {
            // A connection in the queue of a listener is reset as the listener closes.
            return false;
        }
    }

    /** Reads what arrives until the connection ends. */
    private static String readAll(Socket caller) throws IOException {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        caller.getInputStream().transferTo(received);
        return received.toString(StandardCharsets.US_ASCII);
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        for (Socket caller : mCallers) {
            caller.close();
        }
        mHarness.close();
        mStore.close();
        mUpstream.close();
        mThreads.shutdownNow();
    }

    private void assertRefused(Socket caller, String id) throws IOException {
        String response = readAll(caller);
        assertTrue(response.startsWith("HTTP/1.1 503 "), response);
        assertTrue(response.contains("\"ran\":\"no\""), response);
        String lower = response.toLowerCase(Locale.ROOT);
        assertTrue(lower.contains("\r\nretry-after: "), response);
        assertTrue(lower.contains("\r\nconnection: close"), response);
        assertFalse(mArrived.contains(id), "the request was sent");
        mGateway.awaitLogLine(
                "\"event\":\"refused\"", "\"" + id + "\"", "\"decidedBy\":\"stop\"", "not-ready");
    }

    // Guards against a request that is begun and cut off since a stop has too little time left.
    @Test
    public void requestThatCannotEndInTimeIsRefusedAsNotRun() throws Exception {
        assertRefused(mSlow, "late-slow");
    }

    // Guards against a stream that is begun and cut off since a stop has too little time left.
    @Test
    public void streamThatCannotEndInTimeIsRefusedAsNotRun() throws Exception {
        assertRefused(mLong, "late-long");
    }

    // Guards against a request that is refused though its own deadline ends it in time.
    @Test
    public void requestWhoseDeadlineIsInTimeIsSent() throws Exception {
        String response = readAll(mSlowWithDeadline);
        assertTrue(response.startsWith("HTTP/1.1 504 "), response);
        assertTrue(mArrived.contains("late-deadline"));
        mGateway.awaitLogLine(
                "\"event\":\"refused\"", "\"late-deadline\"", "\"decidedBy\":\"deadline\"");
    }

    // Guards against a stop that refuses what it could still serve.
    @Test
    public void requestsThatCanEndInTimeAreServed() throws Exception {
        for (Socket caller : new Socket[] {mFast, mNew, mShort, mLast}) {
            String response = readAll(caller);
            assertTrue(response.startsWith("HTTP/1.1 200 "), response);
        }
    }
}
