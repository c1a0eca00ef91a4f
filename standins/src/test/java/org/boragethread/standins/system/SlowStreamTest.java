package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.LockSupport;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.StoreStandIn;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests streams of upstreams that are slow, or that send bytes without making progress. */
public class SlowStreamTest {

    private static final int ROUTE_TIMEOUT_MILLIS = 4000;
    private static final Duration STEP = Duration.ofMillis(100);

    /** Longer than the route's target, shorter than the time after which a stream has stalled. */
    private static final Duration SLOW_PAUSE = Duration.ofMillis(400);

    private static final String FIRST = "id: 0\ndata: one\n\n";
    private static final String REST = "id: 1\ndata: two\n\nid: 2\ndata: three\n\n";

    private static final String ROUTE =
            """
            {"name":"%s","hostname":"127.0.0.1","path_prefix":"/%s/","kind":"streaming",
             "can_resume":%s,"timeout_ms":%d,"target_latency_ms":400,"gap_aim_ms":300,
             "service":"engines","max_attempts":2}""";

    private static final String CONFIG =
            "{\"version\":1,\"routes\":["
                    + ROUTE.formatted("stream", "stream", true, ROUTE_TIMEOUT_MILLIS)
                    + ","
                    + ROUTE.formatted("pinned", "pinned", false, ROUTE_TIMEOUT_MILLIS)
                    + """
                    ],"services":[{"name":"engines","max_conns":100}],
                    "tenants":[{"name":"team-1","api_keys":["key-1"]}]}""";

    private final Set<String> mStartedRequests = ConcurrentHashMap.newKeySet();
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private StoreStandIn mStore;
    private ServerSocket mEngine;
    private ProcessHarness mHarness;
    private TestGateway mGateway;

    /** What a stalled stream sends after its first event. */
    private enum Trickle {
        COMMENTS(": still here\n\n"),
        EVENT_WITHOUT_END("x"),
        LINES_OF_ONE_EVENT("data: x\n"),
        LINE_ENDS("\n");

        final String mText;

        Trickle(String text) {
            mText = text;
        }
    }

    @BeforeClass
    public void start() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        mEngine = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        mThreads.execute(this::accept);
        for (String id : new String[] {"engine-1", "engine-2"}) {
            mStore.put(StoreStandIn.UPSTREAM_TOPIC, id, announcement());
        }
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "config", CONFIG);
        mHarness = new ProcessHarness();
        mGateway = TestGateway.start(mHarness, "gateway-1", mStore.address());
        // A gateway that has just started may make one retry for five first calls.
        for (int i = 0; i < 30; i++) {
            assertEquals(mGateway.postWithKey("/stream/whole", "earlier-" + i).statusCode(), 200);
        }
    }

    private String announcement() {
        return """
        {"service":"engines","address":"127.0.0.1:%d","zone":"north","state":"ready",
         "version":"v1","slots":64,"cold_left_ms":0,"seq":1}"""
                .formatted(mEngine.getLocalPort());
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        mHarness.close();
        mStore.close();
        mEngine.close();
        mThreads.shutdownNow();
    }

    private void accept() {
        while (!mEngine.isClosed()) {
            try {
                Socket connection = mEngine.accept();
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
            String path = reader.readLine().split(" ")[1];
            String id = "";
            boolean resumed = false;
            for (String line = reader.readLine(); !line.isEmpty(); line = reader.readLine()) {
                String header = line.toLowerCase(Locale.ROOT);
                if (header.startsWith("x-boragethread-request-id:")) {
                    id = line.substring(line.indexOf(':') + 1).strip();
                }
                resumed |= header.startsWith("last-event-id:");
            }
            respond(connection.getOutputStream(), path, id, resumed);
        } catch (IOException e) {
            // The gateway has closed the connection; the test checks what its caller received.
        }
    }

    private void respond(OutputStream output, String path, String id, boolean resumed)
            throws IOException {
        write(
                output,
                "HTTP/1.1 200 OK\r\nX-Boragethread-Request-Id: "
                        + id
                        + "\r\nX-Boragethread-Response-Seal: seal\r\n"
                        + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n");
        boolean first = mStartedRequests.add(id);
        String name = path.substring(path.lastIndexOf('/') + 1);
        if (name.equals("slow")) {
            LockSupport.parkNanos(SLOW_PAUSE.toNanos());
        }
        write(output, resumed ? "" : FIRST);
        if (name.equals("slow")) {
            LockSupport.parkNanos(SLOW_PAUSE.toNanos());
        } else if (!name.equals("whole") && first) {
            trickle(output, Trickle.valueOf(name));
        }
        write(output, REST);
    }

    private static void trickle(OutputStream output, Trickle kind) throws IOException {
        long end = System.nanoTime() + Duration.ofMillis(3L * ROUTE_TIMEOUT_MILLIS).toNanos();
        while (System.nanoTime() < end) {
            write(output, kind.mText);
            LockSupport.parkNanos(STEP.toNanos());
        }
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.US_ASCII));
        output.flush();
    }

    @DataProvider
    private static Object[] trickles() {
        return Trickle.values();
    }

    // Guards against a stalled stream that is kept because bytes without an event arrive.
    @Test(dataProvider = "trickles")
    public void stalledStreamContinuesElsewhereThoughItTrickles(Trickle trickle) throws Exception {
        HttpResponse<String> answer =
                mGateway.postWithKey("/stream/" + trickle, "resumed-" + trickle);
        String events =
                answer.body().replace(Trickle.COMMENTS.mText, "").replaceAll("\n{2,}", "\n\n");
        assertEquals(events.strip(), (FIRST + REST).strip());
    }

    // Guards against a stalled stream without an end; no other upstream may continue this one.
    @Test(dataProvider = "trickles")
    public void stalledStreamEndsWithTheTimeoutOfTheRoute(Trickle trickle) {
        long start = System.nanoTime();
        expectThrows(
                IOException.class,
                () -> mGateway.postWithKey("/pinned/" + trickle, "pinned-" + trickle));
        long millis = Duration.ofNanos(System.nanoTime() - start).toMillis();
        assertTrue(millis < ROUTE_TIMEOUT_MILLIS + 1000, millis + " ms");
    }

    // Guards against a sound stream that is cut because its events come slowly.
    @Test
    public void slowStreamIsForwardedWhole() throws Exception {
        for (String route : new String[] {"stream", "pinned"}) {
            HttpResponse<String> answer =
                    mGateway.postWithKey("/" + route + "/slow", "slow-" + route);
            assertEquals(answer.body(), FIRST + REST, route);
        }
    }
}
