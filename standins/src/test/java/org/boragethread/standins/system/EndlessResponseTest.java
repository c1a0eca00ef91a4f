package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.StoreStandIn;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests a faulty engine that sends bytes without end, to many requests at once. */
public class EndlessResponseTest {

    /** Requests that the faulty engine responds to at once. */
    private static final int AT_ONCE = 20;

    private static final Duration ENDLESS_TIME = Duration.ofSeconds(3);
    private static final int PART_BYTES = 32 << 10;
    private static final int CALLER_TIMEOUT_MILLIS = 8000;

    private static final List<String> KINDS = List.of("safe", "unsafe", "streaming", "resumable");

    private static final String ROUTE =
            """
            {"name":"%1$s","hostname":"127.0.0.1","path_prefix":"/%1$s/","kind":"%2$s",
             "can_resume":%3$s,"timeout_ms":4000,"target_latency_ms":400,"gap_aim_ms":400,
             "service":"faulty","max_attempts":1}""";

    private static final String SOUND =
            """
            {"name":"sound","hostname":"127.0.0.1","path_prefix":"/sound/","kind":"unsafe",
             "timeout_ms":4000,"target_latency_ms":400,"service":"sound","max_attempts":1}""";

    private static final String STAGED =
            """
            {"name":"staged","hostname":"127.0.0.1","path_prefix":"/staged/","kind":"safe",
             "timeout_ms":4000,"target_latency_ms":400,"service":"sound","max_attempts":1,
             "stages":[{"service":"pieces","after":[],"bytes":100}]}""";

    private static final String SERVICES =
            """
            {"name":"faulty","max_conns":200},{"name":"sound","max_conns":200},
            {"name":"pieces","pieces":{"slots":20,"queue":20,"batch":4,"call_ms":10,"item_ms":1,
             "headroom_mb":10,"handle_s":4}}""";

    private static final String REQUEST =
            """
            POST /%s/x HTTP/1.1\r
            Host: 127.0.0.1\r
            Authorization: Token key-1\r
            X-Boragethread-Request-Id: %s\r
            X-Boragethread-Pieces: 1\r
            Content-Length: 4\r
            \r
            body""";

    private static final String CHUNK = "400\r\n" + "x".repeat(1024) + "\r\n";

    /** Where the bytes have no end. */
    private enum Place {
        STATUS_LINE("HTTP/1.1 200 ", "x"),
        NOTHING_BUT_LINE_ENDS("", "\r\n"),
        NOTHING_BUT_ZEROS("", "\u0000"),
        HEADER_LINE("HTTP/1.1 200 OK\r\nX-Long: ", "x"),
        HEADERS("HTTP/1.1 200 OK\r\n", "X-A: bcdefgh\r\n"),
        INFORMATIONAL("", "HTTP/1.1 100 Continue\r\n\r\n"),
        BODY_TO_THE_CLOSE("HTTP/1.1 200 OK\r\n%1$s\r\n", "x"),
        BODY_OF_A_LIE("HTTP/1.1 200 OK\r\n%1$sContent-Length: 2\r\n\r\n", "x"),
        BODY_OF_AN_ERROR("HTTP/1.1 500 Error\r\n%1$s\r\n", "x"),
        CHUNKS("HTTP/1.1 200 OK\r\n%1$sTransfer-Encoding: chunked\r\n\r\n", CHUNK),
        TINY_CHUNKS("HTTP/1.1 200 OK\r\n%1$sTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"),
        CHUNK_EXTENSION("HTTP/1.1 200 OK\r\n%1$sTransfer-Encoding: chunked\r\n\r\n4;", "x"),
        TRAILERS("HTTP/1.1 200 OK\r\n%1$sTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"),
        OTHER_RESPONSES("", "HTTP/1.1 200 OK\r\n%2$sContent-Length: 2\r\n\r\nok"),
        EVENT("HTTP/1.1 200 OK\r\n%1$sContent-Type: text/event-stream\r\n\r\ndata: ", "x"),
        EVENT_ID("HTTP/1.1 200 OK\r\n%1$sContent-Type: text/event-stream\r\n\r\nid: ", "1");

        private final String mBegin;
        private final String mPart;

        Place(String begin, String part) {
            mBegin = begin;
            mPart = part;
        }
    }

    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private volatile Place mPlace = Place.CHUNKS;
    private StoreStandIn mStore;
    private ScriptedUpstream mFaulty;
    private ScriptedUpstream mSound;
    private ProcessHarness mHarness;
    private TestGateway mGateway;

    @BeforeClass
    public void start() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        mFaulty = new ScriptedUpstream(0, this::respondWithoutEnd);
        mSound = new ScriptedUpstream(0, EndlessResponseTest::respond);
        mStore.put(StoreStandIn.UPSTREAM_TOPIC, "faulty-1", mFaulty.announcement("faulty"));
        mStore.put(StoreStandIn.UPSTREAM_TOPIC, "pieces-1", mFaulty.announcement("pieces"));
        mStore.put(StoreStandIn.UPSTREAM_TOPIC, "sound-1", mSound.announcement("sound"));
        List<String> routes = new ArrayList<>(List.of(SOUND, STAGED));
        for (String kind : KINDS) {
            boolean resumable = kind.equals("resumable");
            routes.add(ROUTE.formatted(kind, resumable ? "streaming" : kind, resumable));
        }
        mStore.put(
                StoreStandIn.OPERATOR_TOPIC,
                "config",
                "{\"version\":1,\"routes\":[%s],\"services\":[%s],\"tenants\":[%s]}"
                        .formatted(
                                String.join(",", routes),
                                SERVICES,
                                "{\"name\":\"team-1\",\"api_keys\":[\"key-1\"]}"));
        mHarness = new ProcessHarness();
        mGateway = TestGateway.start(mHarness, "gateway-1", mStore.address());
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        mHarness.close();
        mStore.close();
        mFaulty.close();
        mSound.close();
        mThreads.shutdownNow();
    }

    private static void respond(ScriptedUpstream.Request request, Socket connection)
            throws IOException {
        byte[] response =
                (SteppedCalls.head("200 OK", request.id(), 2) + "ok")
                        .getBytes(StandardCharsets.US_ASCII);
        connection.getOutputStream().write(response);
    }

    private void respondWithoutEnd(ScriptedUpstream.Request request, Socket connection)
            throws IOException {
        String headers = "X-Boragethread-Request-Id: %s\r\nX-Boragethread-Response-Seal: seal\r\n";
        String own = headers.formatted(request.id());
        String other = headers.formatted("of-another");
        Place place = mPlace;
        OutputStream output = connection.getOutputStream();
        output.write(place.mBegin.formatted(own, other).getBytes(StandardCharsets.US_ASCII));
        String part = place.mPart.formatted(own, other);
        byte[] parts = part.repeat(PART_BYTES / part.length()).getBytes(StandardCharsets.US_ASCII);
        long end = System.nanoTime() + ENDLESS_TIME.toNanos();
        while (System.nanoTime() < end) {
            output.write(parts);
        }
        connection.close();
    }

    @DataProvider
    private static Object[] places() {
        return Arrays.stream(Place.values()).filter(place -> place != Place.TINY_CHUNKS).toArray();
    }

    // Guards against small parts without end that take the time of all other requests.
    @Test
    public void otherRequestsAreServedBesideTinyChunksWithoutEnd() throws Exception {
        otherRequestsAreServedBesideResponsesWithoutEnd(Place.TINY_CHUNKS);
    }

    // Guards against bytes without end that take the memory or the time of all other requests.
    @Test(dataProvider = "places")
    public void otherRequestsAreServedBesideResponsesWithoutEnd(Place place) throws Exception {
        mPlace = place;
        List<String> kinds = new ArrayList<>(KINDS);
        kinds.add("staged");
        List<Future<Integer>> endless = new ArrayList<>();
        for (int i = 0; i < AT_ONCE; i++) {
            String kind = kinds.get(i % kinds.size());
            String id = place + "-" + i;
            // Every other caller reads nothing.
            boolean reads = i % 2 == 0;
            endless.add(mThreads.submit(() -> call(kind, id, reads)));
        }
        int served = 0;
        for (Future<Integer> request : endless) {
            while (!request.isDone()) {
                String id = place + "-beside-" + served++;
                HttpResponse<String> response = mGateway.postWithKey("/sound/x", id);
                assertEquals(response.statusCode(), 200, response.body());
            }
            request.get();
        }
        assertTrue(served > 0);
        assertTrue(mGateway.process().isAlive());
        assertEquals(mGateway.readiness(), 200);
    }

    private int call(String kind, String id, boolean reads) throws Exception {
        try (Socket caller = new Socket("127.0.0.1", mGateway.port())) {
            caller.setSoTimeout(CALLER_TIMEOUT_MILLIS);
            caller.getOutputStream()
                    .write(REQUEST.formatted(kind, id).getBytes(StandardCharsets.US_ASCII));
            if (!reads) {
                Thread.sleep(ENDLESS_TIME.toMillis());
                return 0;
            }
            byte[] part = new byte[PART_BYTES];
            int total = 0;
            for (int n = 0; n >= 0; n = caller.getInputStream().read(part)) {
                total += n;
            }
            return total;
        } catch (IOException e) {
            // The response was cut off, or had not ended in time.
            return 0;
        }
    }
}
