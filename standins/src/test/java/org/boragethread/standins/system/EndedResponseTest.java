package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
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

/** Tests ends of responses that upstreams decide, and what the log says of them. */
public class EndedResponseTest {

    private static final String ROUTE =
            """
            {"name":"%1$s","hostname":"127.0.0.1","path_prefix":"/%1$s/","kind":"%2$s",
             "can_resume":%3$s,"timeout_ms":9000,"target_latency_ms":4000,"gap_aim_ms":4000,
             "service":"%1$s","max_attempts":%4$d}""";

    private static final String SHARES = "[shares]\nretry_ratio = 1\nretry_slack = 0";

    private static final String FIRST = "id: 0\ndata: one\n\n";
    private static final String REST = "id: 1\ndata: two\n\nid: 2\ndata: three\n\n";

    /** More than an entry holds of one response. */
    private static final int LARGE = 300 << 10;

    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final SteppedCalls mCalls = new SteppedCalls();
    private final StreamCaller mCaller = new StreamCaller();
    private final Map<String, String> mRoutes = new LinkedHashMap<>();
    private StoreStandIn mStore;
    private ProcessHarness mHarness;
    private TestGateway mGateway;

    /** A response that does not continue a stream. */
    private enum OtherResponse {
        ERROR("500 Internal Server Error", "text/plain"),
        NOT_FOUND("404 Not Found", "text/plain"),
        TOO_MANY("429 Too Many Requests", "text/plain"),
        DOCUMENT("200 OK", "application/json"),
        NO_CONTENT("204 No Content", "text/plain");

        final String mStatus;
        final String mType;

        OtherResponse(String status, String type) {
            mStatus = status;
            mType = type;
        }
    }

    @BeforeClass
    public void start() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        addGroup("large-1", "safe", false, 1);
        addGroup("large-2", "safe", false, 2);
        for (OtherResponse response : OtherResponse.values()) {
            addGroup("resume-2-" + response.ordinal(), "streaming", true, 2);
            addGroup("resume-3-" + response.ordinal(), "streaming", true, 3);
        }
        mStore.put(
                StoreStandIn.OPERATOR_TOPIC,
                "config",
                "{\"version\":1,\"routes\":[%s],\"services\":[%s],\"tenants\":[%s]}"
                        .formatted(
                                String.join(",", mRoutes.values()),
                                String.join(
                                        ",",
                                        mRoutes.keySet().stream()
                                                .map("{\"name\":\"%s\",\"max_conns\":9}"::formatted)
                                                .toList()),
                                "{\"name\":\"team-1\",\"api_keys\":[\"key-1\"]}"));
        mHarness = new ProcessHarness();
        mGateway = TestGateway.start(mHarness, "gateway-1", mStore.address(), SHARES);
    }

    private void addGroup(String name, String kind, boolean resumable, int attempts)
            throws Exception {
        mRoutes.put(name, ROUTE.formatted(name, kind, resumable, attempts));
        for (int i = 0; i < 3; i++) {
            mStore.put(
                    StoreStandIn.UPSTREAM_TOPIC,
                    name + "-" + i,
                    mCalls.addUpstream().announcement(name, "v1"));
        }
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        mHarness.close();
        mStore.close();
        mCalls.close();
        mThreads.shutdownNow();
    }

    private HttpResponse<String> post(String path, String id) {
        try {
            return mGateway.postWithKey(path, id);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private StreamCaller.Received receive(String path, String id) {
        try {
            return mCaller.request(mGateway, path, id);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static void failAtLength(Call call) throws Exception {
        String body = "x".repeat(LARGE);
        call.write(SteppedCalls.head("500 Internal Server Error", call.id(), LARGE) + body);
        call.end();
    }

    // Guards against an error too large to be held that is forwarded in part, or ends a request
    // that another upstream may serve.
    @Test
    public void errorTooLargeToHoldIsRepeatedElsewhere() throws Exception {
        CompletableFuture<HttpResponse<String>> response =
                CompletableFuture.supplyAsync(() -> post("/large-2/x", "large-2"), mThreads);
        failAtLength(mCalls.await("large-2", 0));
        Call second = mCalls.await("large-2", 1);
        second.write(SteppedCalls.head("200 OK", "large-2", 2) + "ok");
        second.end();
        assertEquals(response.get().statusCode(), 200);
        assertEquals(response.get().body(), "ok");
    }

    // Guards against an error too large to be held that reaches the caller in part.
    @Test
    public void errorTooLargeToHoldIsAFailureOfTheUpstream() throws Exception {
        CompletableFuture<HttpResponse<String>> response =
                CompletableFuture.supplyAsync(() -> post("/large-1/x", "large-1"), mThreads);
        failAtLength(mCalls.await("large-1", 0));
        assertEquals(response.get().statusCode(), 502);
        assertTrue(response.get().body().contains("\"ran\":\"unknown\""), response.get().body());
        mGateway.awaitLogLine(
                "\"event\":\"refused\"", "\"large-1\"", "\"decidedBy\":\"upstream\"", "500");
        mGateway.awaitLogLine(
                "\"event\":\"repeat-denied\"", "\"large-1\"", "\"cause\":\"attempts\"");
    }

    @DataProvider
    private static Object[][] otherResponses() {
        List<Object[]> cases = new ArrayList<>();
        for (OtherResponse response : OtherResponse.values()) {
            cases.add(new Object[] {response});
        }
        return cases.toArray(new Object[0][]);
    }

    /** Begins a stream whose first upstream breaks off and whose second responds otherwise. */
    private CompletableFuture<StreamCaller.Received> breakTwice(
            String group, String id, OtherResponse response) throws Exception {
        CompletableFuture<StreamCaller.Received> received =
                CompletableFuture.supplyAsync(() -> receive("/" + group + "/x", id), mThreads);
        Call first = mCalls.await(id, 0);
        first.write(SteppedCalls.streamHead(id) + FIRST + "id: 1\nda");
        first.end();
        Call second = mCalls.await(id, 1);
        second.write(SteppedCalls.head(response.mStatus, id, response.mType));
        second.end();
        return received;
    }

    /** Sends a request that needs no retry, so that the next one of its group may use two. */
    private void earnRetry(String group, String id) throws Exception {
        CompletableFuture<StreamCaller.Received> received =
                CompletableFuture.supplyAsync(() -> receive("/" + group + "/x", id), mThreads);
        Call call = mCalls.await(id, 0);
        call.write(SteppedCalls.streamHead(id) + FIRST);
        call.end();
        assertTrue(received.get().complete());
    }

    // Guards against a stream that ends because one upstream does not continue it, though another
    // one may.
    @Test(dataProvider = "otherResponses")
    public void streamGoesOnAtAThirdUpstream(OtherResponse response) throws Exception {
        String id = "third-" + response;
        String group = "resume-3-" + response.ordinal();
        earnRetry(group, "earlier-" + response);
        CompletableFuture<StreamCaller.Received> received = breakTwice(group, id, response);
        Call third = mCalls.await(id, 2);
        assertEquals(third.headers().get("last-event-id"), "0");
        third.write(SteppedCalls.streamHead(id) + REST);
        third.end();
        assertTrue(received.get().complete(), "the response was cut off");
        assertEquals(received.get().body().strip(), (FIRST + REST).strip());
    }

    // Guards against a stream that looks complete though the upstream that was to continue it did
    // not.
    @Test(dataProvider = "otherResponses")
    public void streamIsCutOffIfNoAttemptIsLeft(OtherResponse response) throws Exception {
        String id = "cut-" + response;
        StreamCaller.Received received =
                breakTwice("resume-2-" + response.ordinal(), id, response).get();
        assertFalse(received.complete(), received.body());
        assertEquals(received.status(), 200);
        assertEquals(received.body().strip(), FIRST.strip());
        assertEquals(mCalls.of(id).size(), 2);
        mGateway.awaitLogLine(
                "\"event\":\"broken-off\"", "\"" + id + "\"", "\"decidedBy\":\"upstream\"");
        mGateway.awaitLogLine(
                "\"event\":\"repeat-denied\"", "\"" + id + "\"", "\"cause\":\"attempts\"");
    }
}
