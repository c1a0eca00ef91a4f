package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.StoreStandIn;
import org.boragethread.standins.system.SteppedUpstream.Call;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what callers receive if the head of an upstream's response is not valid HTTP. */
public class InvalidHeadTest {

    private static final String ROUTE =
            """
            {"name":"%1$s","hostname":"127.0.0.1","path_prefix":"/%1$s/","kind":"%2$s",
             "can_resume":%3$s,"timeout_ms":9000,"target_latency_ms":%4$d,"gap_aim_ms":4000,
             "service":"%1$s","max_attempts":3}""";

    private static final String STATUS_FAULT = "the status code is not a number from 100 to 599";
    private static final String NAME_FAULT = "a header name is not a token";

    private static final String SHARES = "[shares]\nretry_ratio = 1\nretry_slack = 0";

    private static final String FIRST_EVENT = "id: 0\ndata: one\n\n";
    private static final String OTHER_EVENTS = "id: 1\ndata: two\n\nid: 2\ndata: three\n\n";

    /** Response time after which a second attempt is started soon. */
    private static final int SHORT_MILLIS = 300;

    private static final int LONG_MILLIS = 4000;

    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final SteppedCalls mCalls = new SteppedCalls();

    /** Calls of stages, which name no request; by the group of the request. */
    private final Map<String, SteppedCalls> mStageCalls = new LinkedHashMap<>();

    private final StreamCaller mCaller = new StreamCaller();
    private final Map<String, String> mRoutes = new LinkedHashMap<>();
    private StoreStandIn mStore;
    private ProcessHarness mHarness;
    private TestGateway mGateway;

    /** A head, with the body that follows it. */
    private enum Head {
        ZERO_STATUS("HTTP/1.1 000 OK", "", STATUS_FAULT),
        LARGE_STATUS("HTTP/1.1 600 OK", "", STATUS_FAULT),
        SIGNED_STATUS("HTTP/1.1 +200 OK", "", STATUS_FAULT),
        OTHER_VERSION("HTTP/2.0 200 OK", "", "the version is not HTTP/1"),
        BLANK_IN_NAME("HTTP/1.1 200 OK", "X Name: 1\r\n", NAME_FAULT),
        BLANK_BEFORE_NAME("HTTP/1.1 200 OK", " X-Name: 1\r\n", "a line begins with a blank"),
        BLANK_AFTER_NAME("HTTP/1.1 200 OK", "X-Name : 1\r\n", NAME_FAULT),
        BLANK_IN_LENGTH("HTTP/1.1 200 OK", "Content Length: 2\r\n", NAME_FAULT),
        CONTROL_BYTE("HTTP/1.1 200 OK", "X\u0001Name: 1\r\n", NAME_FAULT),
        CONTROL_BYTE_IN_VALUE("HTTP/1.1 200 OK", "X-Name: a\u0001b\r\n", "not valid HTTP"),
        LARGEST_STATUS("HTTP/1.1 599 Any", "", ""),
        ALL_NAME_CHARACTERS("HTTP/1.1 200 OK", "!#$%&'*+-.^_`|~09azAZ: 1\r\n", ""),
        NO_VALUE("HTTP/1.1 200 OK", "X-Name:\r\n", ""),
        NO_PAUSE("HTTP/1.1 200 OK", "Retry-After: 0\r\n", "");

        final String mStatusLine;
        final String mLines;
        final String mFault;
        final boolean mValid;

        /**
         * Creates a head.
         *
         * @param fault what the log says of it; empty if it is valid
         */
        Head(String statusLine, String lines, String fault) {
            mStatusLine = statusLine;
            mLines = lines;
            mFault = fault;
            mValid = fault.isEmpty();
        }

        String group(String kind) {
            return kind + "-" + ordinal();
        }

        String id(String kind) {
            return kind + "-" + name();
        }
    }

    /** How the end of the body is determined. */
    private enum Framing {
        CONTENT_LENGTH("Content-Length: 4\r\n", "body"),
        CHUNKED("Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n"),
        CONNECTION_END("", "body");

        final String mHeader;
        final String mBody;

        Framing(String header, String body) {
            mHeader = header;
            mBody = body;
        }
    }

    @BeforeClass
    public void start() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        for (Head head : Head.values()) {
            addGroup(head.group("unsafe"), "unsafe", false, LONG_MILLIS, 1);
            addGroup(head.group("safe"), "safe", false, LONG_MILLIS, 2);
            addGroup(head.group("standby"), "safe", false, SHORT_MILLIS, 2);
            addGroup(head.group("stream"), "streaming", false, LONG_MILLIS, 1);
            addGroup(head.group("resume"), "streaming", true, LONG_MILLIS, 3);
            addStagedGroup(head.group("staged"));
        }
        mStore.put(
                StoreStandIn.OPERATOR_TOPIC,
                "config",
                "{\"version\":1,\"routes\":[%s],\"services\":[%s],\"tenants\":[%s]}"
                        .formatted(
                                String.join(",", mRoutes.values()),
                                services(),
                                "{\"name\":\"team-1\",\"api_keys\":[\"key-1\"]}"));
        mHarness = new ProcessHarness();
        mGateway = TestGateway.start(mHarness, "gateway-1", mStore.address(), SHARES);
        mGateway.awaitSettledUpstreams();
    }

    private String services() {
        List<String> services = new ArrayList<>();
        for (String group : mRoutes.keySet()) {
            services.add("{\"name\":\"%s\",\"max_conns\":9}".formatted(group));
        }
        for (String group : mStageCalls.keySet()) {
            services.add(
                    """
                    {"name":"%s-pieces","pieces":{"slots":1,"queue":2,"batch":4,"call_ms":10,
                     "item_ms":1,"headroom_mb":10,"handle_s":4}}"""
                            .formatted(group));
        }
        return String.join(",", services);
    }

    private void addGroup(
            String name, String kind, boolean resumable, int targetMillis, int upstreams)
            throws Exception {
        mRoutes.put(name, ROUTE.formatted(name, kind, resumable, targetMillis));
        for (int i = 0; i < upstreams; i++) {
            mStore.put(
                    StoreStandIn.UPSTREAM_TOPIC,
                    name + "-" + i,
                    mCalls.addUpstream().announcement(name, "v1"));
        }
    }

    /** Adds a group whose requests need one piece of another group. */
    private void addStagedGroup(String name) throws Exception {
        addGroup(name, "unsafe", false, LONG_MILLIS, 1);
        String stages =
                "\"stages\":[{\"service\":\"%s-pieces\",\"after\":[],\"bytes\":10}],"
                        .formatted(name);
        mRoutes.compute(name, (key, route) -> route.replace("\"max_att", stages + "\"max_att"));
        SteppedCalls calls = new SteppedCalls();
        mStageCalls.put(name, calls);
        for (int i = 0; i < 2; i++) {
            mStore.put(
                    StoreStandIn.UPSTREAM_TOPIC,
                    name + "-pieces-" + i,
                    calls.addUpstream().announcement(name + "-pieces", "v1"));
        }
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        mHarness.close();
        mStore.close();
        mCalls.close();
        for (SteppedCalls calls : mStageCalls.values()) {
            calls.close();
        }
        mThreads.shutdownNow();
    }

    private CompletableFuture<HttpResponse<String>> post(
            String group, String id, String... headers) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return mGateway.postWithKey("/" + group + "/x", id, headers);
                    } catch (Exception e) {
                        throw new IllegalStateException(e);
                    }
                },
                mThreads);
    }

    private CompletableFuture<StreamCaller.Received> receive(String group, String id) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return mCaller.request(mGateway, "/" + group + "/x", id);
                    } catch (Exception e) {
                        throw new IllegalStateException(e);
                    }
                },
                mThreads);
    }

    /** Writes a whole response with a head of a test. */
    private static void respond(Call call, Head head, Framing framing, String type)
            throws Exception {
        call.write(
                """
                %s\r
                X-Boragethread-Request-Id: %s\r
                X-Boragethread-Response-Seal: seal\r
                Content-Type: %s\r
                %s%s\r
                %s"""
                        .formatted(
                                head.mStatusLine,
                                call.id(),
                                type,
                                head.mLines,
                                framing.mHeader,
                                framing.mBody));
        call.end();
    }

    @DataProvider
    private static Iterator<Object[]> heads() {
        List<Object[]> cases = new ArrayList<>();
        for (Head head : Head.values()) {
            for (Framing framing : Framing.values()) {
                cases.add(new Object[] {head, framing});
            }
        }
        return cases.iterator();
    }

    // Guards against a broken response that a caller receives as an answer.
    @Test(dataProvider = "heads")
    public void responseIsAnAnswerOnlyIfItsHeadIsValid(Head head, Framing framing)
            throws Exception {
        for (String kind : List.of("unsafe", "stream")) {
            String id = head.id(kind) + framing;
            CompletableFuture<HttpResponse<String>> response = post(head.group(kind), id);
            respond(mCalls.await(id, 0), head, framing, "text/plain");
            assertAnswerIfValid(head, response.get());
            if (!head.mValid) {
                String upstream = "\"" + head.group(kind) + "-0\"";
                mGateway.awaitLogLine(
                        "\"response-broken\"", "\"" + id + "\"", upstream, head.mFault);
            }
        }
    }

    private static void assertAnswerIfValid(Head head, HttpResponse<String> received) {
        String seal = received.headers().firstValue("X-Boragethread-Response-Seal").orElse("");
        if (!head.mValid) {
            assertEquals(received.statusCode(), 502);
            assertEquals(seal, "");
            return;
        }
        assertEquals("HTTP/1.1 " + received.statusCode(), head.mStatusLine.substring(0, 12));
        assertEquals(received.body(), "body");
        assertEquals(seal, "seal");
        for (String line : head.mLines.lines().toList()) {
            int colon = line.indexOf(':');
            assertEquals(
                    received.headers().firstValue(line.substring(0, colon)).orElse(""),
                    line.substring(colon + 1).strip());
        }
    }

    @DataProvider
    private static Iterator<Object[]> invalidHeads() {
        List<Object[]> cases = new ArrayList<>();
        for (Head head : Head.values()) {
            if (!head.mValid) {
                cases.add(new Object[] {head});
            }
        }
        return cases.iterator();
    }

    // Guards against a request that fails though another upstream may serve it.
    @Test(dataProvider = "invalidHeads")
    public void safeRequestIsRepeatedElsewhere(Head head) throws Exception {
        String id = head.id("safe");
        CompletableFuture<HttpResponse<String>> response = post(head.group("safe"), id);
        respond(mCalls.await(id, 0), head, Framing.CONTENT_LENGTH, "text/plain");
        Call second = mCalls.await(id, 1);
        second.write(SteppedCalls.head("200 OK", id, 2) + "ok");
        second.end();
        assertEquals(response.get().statusCode(), 200);
        assertEquals(response.get().body(), "ok");
    }

    // Guards against a second attempt that takes over a response with a broken one.
    @Test(dataProvider = "invalidHeads")
    public void brokenResponseOfASecondAttemptIsIgnored(Head head) throws Exception {
        String id = head.id("standby");
        CompletableFuture<HttpResponse<String>> response = post(head.group("standby"), id);
        Call silent = mCalls.await(id, 0);
        respond(mCalls.await(id, 1), head, Framing.CONTENT_LENGTH, "text/plain");
        mGateway.awaitLogLine("\"event\":\"standby\"", "\"" + id + "\"", "failed");
        silent.write(SteppedCalls.head("200 OK", id, 2) + "ok");
        silent.end();
        assertEquals(response.get().statusCode(), 200);
        assertEquals(response.get().body(), "ok");
    }

    // Guards against a piece that is taken from a broken response.
    @Test(dataProvider = "invalidHeads")
    public void pieceIsMadeAgain(Head head) throws Exception {
        String group = head.group("staged");
        String id = head.id("staged");
        SteppedCalls pieces = mStageCalls.get(group);
        CompletableFuture<HttpResponse<String>> response =
                post(group, id, "X-Boragethread-Pieces", "1", "X-Boragethread-Piece-Key", "k");
        Call broken = pieces.await("", 0);
        broken.write(pieceResponse(head.mStatusLine + "\r\n" + head.mLines, "127.0.0.1:9/broken"));
        broken.end();
        Call sound = pieces.await("", 1);
        sound.write(pieceResponse("HTTP/1.1 200 OK\r\n", "127.0.0.1:9/sound"));
        sound.end();
        Call call = mCalls.await(id, 0);
        assertEquals(call.headers().get("x-boragethread-inputs"), "127.0.0.1:9/sound");
        call.write(SteppedCalls.head("200 OK", id, 2) + "ok");
        call.end();
        assertEquals(response.get().statusCode(), 200);
    }

    private static String pieceResponse(String head, String handle) {
        String body = "{\"items\":[{\"handle\":\"%s\"}]}".formatted(handle);
        return head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Sends a request that needs no retry, so that the next one of its group may use two. */
    private void earnRetry(String group, String id) throws Exception {
        CompletableFuture<StreamCaller.Received> received = receive(group, id);
        Call call = mCalls.await(id, 0);
        call.write(SteppedCalls.streamHead(id) + FIRST_EVENT);
        call.end();
        assertTrue(received.get().complete());
    }

    // Guards against a stream that ends, or goes on with something else, at a broken response.
    @Test(dataProvider = "invalidHeads")
    public void streamGoesOnAtAThirdUpstream(Head head) throws Exception {
        String id = head.id("resume");
        earnRetry(head.group("resume"), "earlier-" + id);
        CompletableFuture<StreamCaller.Received> received = receive(head.group("resume"), id);
        Call first = mCalls.await(id, 0);
        first.write(SteppedCalls.streamHead(id) + FIRST_EVENT + "id: 1\nda");
        first.end();
        respond(mCalls.await(id, 1), head, Framing.CONNECTION_END, "text/event-stream");
        Call third = mCalls.await(id, 2);
        third.write(SteppedCalls.streamHead(id) + OTHER_EVENTS);
        third.end();
        assertTrue(received.get().complete(), "the response was cut off");
        assertEquals(received.get().body().strip(), (FIRST_EVENT + OTHER_EVENTS).strip());
        assertFalse(received.get().body().contains("body"));
    }
}
