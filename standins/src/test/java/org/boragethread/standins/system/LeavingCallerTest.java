package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.StoreStandIn;
import org.boragethread.standins.system.SteppedUpstream.Call;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests requests whose callers leave, or leave too little time for their stages. */
public class LeavingCallerTest {

    private static final String ROUTE =
            """
            {"name":"%1$s","hostname":"127.0.0.1","path_prefix":"/%1$s/","kind":"%2$s",
             "can_resume":%3$s,"timeout_ms":9000,"target_latency_ms":4000,"gap_aim_ms":4000,
             "service":"engines","max_attempts":2%4$s}""";

    private static final String STAGES =
            ",\"stages\":[{\"service\":\"%s\",\"after\":[],\"bytes\":100}]";

    private static final String PIECES =
            "{\"name\":\"%s\",\"pieces\":{\"slots\":1,\"queue\":2,\"batch\":4,\"call_ms\":%d,"
                    + "\"item_ms\":1,\"headroom_mb\":10,\"handle_s\":20}}";

    private static final String CONFIG =
            "{\"version\":1,\"routes\":["
                    + String.join(
                            ",",
                            ROUTE.formatted("safe", "safe", false, ""),
                            ROUTE.formatted("unsafe", "unsafe", false, ""),
                            ROUTE.formatted("stream", "streaming", true, ""),
                            ROUTE.formatted("pinned", "streaming", false, ""),
                            ROUTE.formatted("staged", "safe", false, STAGES.formatted("maps")),
                            ROUTE.formatted("long", "safe", false, STAGES.formatted("atlases")))
                    + "],\"services\":[{\"name\":\"engines\",\"max_conns\":100},"
                    + PIECES.formatted("maps", 300)
                    + ","
                    + PIECES.formatted("atlases", 2000)
                    + "],\"tenants\":[{\"name\":\"team-1\",\"api_keys\":[\"key-1\"]}]}";

    private static final String REQUEST =
            """
            POST /%s/x HTTP/1.1\r
            Host: 127.0.0.1\r
            Authorization: Token key-1\r
            X-Boragethread-Request-Id: %s\r
            X-Boragethread-Pieces: 1\r
            X-Boragethread-Piece-Key: k\r
            Content-Length: 4\r
            \r
            """;

    private static final String BODY = "body";
    private static final String FIRST = "id: 0\ndata: one\n\n";

    /** Calls for pieces have no ID of one request. */
    private static final String PIECE_CALL = "";

    private final SteppedCalls mCalls = new SteppedCalls();
    private StoreStandIn mStore;
    private ProcessHarness mHarness;
    private TestGateway mGateway;

    @BeforeClass
    public void start() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        for (String group : new String[] {"engines", "maps", "atlases"}) {
            mStore.put(
                    StoreStandIn.UPSTREAM_TOPIC,
                    group + "-1",
                    mCalls.addUpstream().announcement(group, "v1"));
        }
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "config", CONFIG);
        mHarness = new ProcessHarness();
        mGateway = TestGateway.start(mHarness, "gateway-1", mStore.address());
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        mHarness.close();
        mStore.close();
        mCalls.close();
    }

    private Socket send(String route, String id) throws IOException {
        Socket caller = new Socket("127.0.0.1", mGateway.port());
        write(caller, REQUEST.formatted(route, id) + BODY);
        return caller;
    }

    private static void write(Socket caller, String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private void awaitCancelled(String id, int sends) {
        mGateway.awaitLogLine(
                "\"event\":\"cancelled\"",
                "\"" + id + "\"",
                "\"decidedBy\":\"caller\"",
                "\"sends\":\"" + sends + "\"");
    }

    /** Checks that no upstream is blamed for the end of a request. */
    private void assertNothingBroken(String id) {
        for (String event : new String[] {"response-broken", "broken-off", "refused"}) {
            assertFalse(
                    mGateway.hasLogLine("\"event\":\"" + event + "\"", "\"" + id + "\""), event);
        }
        assertFalse(mGateway.hasLogLine("\"outcome\":\"crashed\""));
        assertFalse(mGateway.hasLogLine("\"outcome\":\"connection-ended\""));
    }

    @DataProvider
    private static Object[][] routes() {
        return new Object[][] {{"safe"}, {"unsafe"}, {"stream"}, {"pinned"}};
    }

    // Guards against an upstream that works on for a caller who has left, or is blamed for it.
    @Test(dataProvider = "routes")
    public void callThatIsSentIsCancelled(String route) throws Exception {
        String id = "sent-" + route;
        Call call;
        try (Socket caller = send(route, id)) {
            call = mCalls.await(id, 0);
            assertTrue(caller.isConnected());
        }
        call.awaitCancelled();
        awaitCancelled(id, 1);
        assertNothingBroken(id);
        assertEquals(mCalls.of(id).size(), 1);
    }

    // Guards against an upstream that works on for a caller who has left inside the response.
    @Test(dataProvider = "routes")
    public void callThatRespondsIsCancelled(String route) throws Exception {
        String id = "responding-" + route;
        Call call;
        try (Socket caller = send(route, id)) {
            call = mCalls.await(id, 0);
            call.write(SteppedCalls.streamHead(id) + FIRST);
            if (route.equals("stream") || route.equals("pinned")) {
                assertTrue(caller.getInputStream().read() >= 0);
            }
        }
        call.awaitCancelled();
        awaitCancelled(id, 1);
        assertNothingBroken(id);
        assertEquals(mCalls.of(id).size(), 1);
    }

    // Guards against a request that is sent after its caller has left.
    @Test
    public void requestInItsStagesIsNotSent() throws Exception {
        String id = "staged";
        int pieceCalls = mCalls.of(PIECE_CALL).size();
        Call pieces;
        try (Socket caller = send("staged", id)) {
            pieces = mCalls.await(PIECE_CALL, pieceCalls);
            assertTrue(caller.isConnected());
        }
        awaitCancelled(id, 0);
        String items = "{\"items\":[{\"handle\":\"127.0.0.1:1/h\"}]}";
        pieces.write(SteppedCalls.head("200 OK", "", items.length()) + items);
        pieces.end();
        mGateway.awaitLogLine("\"event\":\"pieces\"", "MADE");
        assertNothingBroken(id);
        assertEquals(mCalls.of(id).size(), 0);
    }

    // Guards against a request that is processed though its caller left before its end.
    @Test
    public void requestThatIsHalfReceivedIsNotSent() throws Exception {
        String id = "half";
        try (Socket caller = new Socket("127.0.0.1", mGateway.port())) {
            write(caller, REQUEST.formatted("safe", id) + "bo");
        }
        mGateway.awaitLogLine(
                "\"event\":\"not-received\"", "\"" + id + "\"", "closed by the caller");
        assertEquals(mCalls.of(id).size(), 0);
    }

    // Guards against stages that are begun though they cannot end in time.
    @Test
    public void stagesThatNeedMoreTimeThanIsLeftAreNotBegun() throws Exception {
        HttpResponse<String> response =
                mGateway.postWithKey(
                        "/long/x",
                        "long",
                        "X-Boragethread-Pieces",
                        "1",
                        "X-Boragethread-Piece-Key",
                        "k",
                        "X-Boragethread-Deadline-Ms",
                        "700");
        assertEquals(response.statusCode(), 503, response.body());
        assertTrue(response.body().contains("\"ran\":\"no\""), response.body());
        assertTrue(response.headers().firstValue("Retry-After").isPresent());
        mGateway.awaitLogLine(
                "\"event\":\"refused\"",
                "\"long\"",
                "\"decidedBy\":\"deadline\"",
                "deadline-hopeless",
                "stages need");
        assertEquals(mCalls.of("long").size(), 0);
    }

    // Guards against 'ran' or an upstream's failure for a request whose stages took its time.
    @Test
    public void stagesThatTakeTooLongEndTheRequestAsNotRun() throws Exception {
        HttpResponse<String> response =
                mGateway.postWithKey(
                        "/staged/x",
                        "slow-stages",
                        "X-Boragethread-Pieces",
                        "1",
                        "X-Boragethread-Piece-Key",
                        "k",
                        "X-Boragethread-Deadline-Ms",
                        "900");
        assertEquals(response.statusCode(), 503, response.body());
        assertTrue(response.body().contains("\"ran\":\"no\""), response.body());
        mGateway.awaitLogLine(
                "\"event\":\"refused\"", "\"slow-stages\"", "\"decidedBy\":\"deadline\"");
        assertEquals(mCalls.of("slow-stages").size(), 0);
    }
}
