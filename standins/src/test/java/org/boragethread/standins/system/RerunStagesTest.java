package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.DirectUpstream;
import org.boragethread.standins.store.StoreStandIn;
import org.boragethread.standins.system.ResponseScript.Ending;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests requests that ran and whose stages would have to run again, with too little time left. */
public class RerunStagesTest {

    private static final String CONFIG =
            """
            {"version":1,"routes":[
            {"name":"stream","hostname":"127.0.0.1","path_prefix":"/stream/","kind":"streaming",
             "can_resume":true,"timeout_ms":2000,"target_latency_ms":400,"gap_aim_ms":400,
             "service":"engines","max_attempts":2,
             "stages":[{"service":"maps","after":[],"bytes":100}]},
            {"name":"safe","hostname":"127.0.0.1","path_prefix":"/safe/","kind":"safe",
             "timeout_ms":2000,"target_latency_ms":400,"service":"engines","max_attempts":2,
             "stages":[{"service":"maps","after":[],"bytes":100}]},
            {"name":"plain","hostname":"127.0.0.1","path_prefix":"/plain/","kind":"safe",
             "timeout_ms":2000,"target_latency_ms":400,"service":"engines","max_attempts":2}],
            "services":[{"name":"engines","max_conns":100},
            {"name":"maps","pieces":{"slots":1,"queue":2,"batch":4,"call_ms":1500,"item_ms":1,
             "headroom_mb":10,"handle_s":4}}],
            "tenants":[{"name":"team-1","api_keys":["key-1"]}]}""";

    /** Leaves less time than the stages need. */
    private static final Duration RUN_TIME = Duration.ofMillis(500);

    private static final String EVENTS = "id: 0\ndata: one\n\nid: 1\ndata: t";

    private final Set<String> mStartedRequests = ConcurrentHashMap.newKeySet();
    private StoreStandIn mStore;
    private DirectUpstream mMaps;
    private ScriptedUpstream mEngine;
    private ProcessHarness mHarness;
    private TestGateway mGateway;

    @BeforeClass
    public void start() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        mMaps = new DirectUpstream("maps-1", "maps");
        mMaps.start();
        mEngine = new ScriptedUpstream(this::script);
        for (String id : new String[] {"engine-1", "engine-2"}) {
            mStore.put(StoreStandIn.UPSTREAM_TOPIC, id, mEngine.announcement("engines"));
        }
        mStore.put(StoreStandIn.UPSTREAM_TOPIC, "maps-1", mMaps.announcement(false));
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "config", CONFIG);
        mHarness = new ProcessHarness();
        mGateway = TestGateway.start(mHarness, "gateway-1", mStore.address());
        // A gateway that has just started may make one retry for five first calls.
        for (int i = 0; i < 20; i++) {
            assertEquals(mGateway.postWithKey("/plain/x", "earlier-" + i).statusCode(), 200);
        }
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        mHarness.close();
        mStore.close();
        mMaps.close();
        mEngine.close();
    }

    /** Breaks off the first run of a stream late; fails the first run of a safe request. */
    private ResponseScript script(ScriptedUpstream.Request request) {
        boolean first = mStartedRequests.add(request.id());
        if (first && !request.path().startsWith("/plain/")) {
            LockSupport.parkNanos(RUN_TIME.toNanos());
        }
        if (request.path().startsWith("/stream/")) {
            return response(request, "200 OK", "Content-Type: text/event-stream", EVENTS);
        }
        if (request.path().startsWith("/plain/")) {
            return response(request, "200 OK", "Content-Length: 2", "ok");
        }
        return first
                ? response(request, "500 Failed", "Content-Length: 6", "failed")
                : response(
                        request,
                        "409 Conflict",
                        "X-Boragethread-Not-Executed: 1\r\nContent-Length: 4",
                        "gone");
    }

    private static ResponseScript response(
            ScriptedUpstream.Request request, String status, String headers, String body) {
        String head =
                """
                HTTP/1.1 %s\r
                X-Boragethread-Request-Id: %s\r
                X-Boragethread-Response-Seal: seal\r
                Connection: close\r
                %s\r
                \r
                """
                        .formatted(status, request.id(), headers);
        int pauseAt = head.length() + Math.max(0, body.length() - 1);
        return new ResponseScript(
                (head + body).getBytes(StandardCharsets.US_ASCII),
                Optional.of(pauseAt),
                Ending.CLOSE);
    }

    private HttpResponse<String> post(String path, String id) throws Exception {
        return mGateway.postWithKey(
                path, id, "X-Boragethread-Pieces", "1", "X-Boragethread-Piece-Key", "k");
    }

    // Guards against a refusal that is written into a stream which has begun.
    @Test
    public void streamIsCutOffAndNotFollowedByARefusal() {
        expectThrows(IOException.class, () -> post("/stream/x", "id-1"));
        mGateway.awaitLogLine("\"event\":\"broken-off\",\"request\":\"id-1\"");
    }

    // Guards against 'not run' for a request that an upstream ran before its stages were lost.
    @Test
    public void requestThatRanIsNotReportedAsNotRun() throws Exception {
        HttpResponse<String> answer = post("/safe/x", "id-2");
        assertEquals(answer.statusCode(), 502, answer.body());
        assertTrue(answer.body().contains("\"ran\":\"unknown\""), answer.body());
    }
}
