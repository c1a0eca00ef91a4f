package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.boragethread.standins.harness.Await;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.DirectUpstream;
import org.boragethread.standins.store.StoreStandIn;
import org.boragethread.standins.system.SteppedUpstream.Call;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests upstreams that fall silent on a request whose stages have run. */
public class SilentStagedUpstreamTest {

    private static final String CONFIG =
            """
            {"version":1,"routes":[
            {"name":"stream","hostname":"127.0.0.1","path_prefix":"/stream/","kind":"streaming",
             "can_resume":true,"timeout_ms":8000,"target_latency_ms":400,"gap_aim_ms":300,
             "service":"engines","max_attempts":2,
             "stages":[{"service":"maps","after":[],"bytes":100}]}],
            "services":[{"name":"engines","max_conns":100},
            {"name":"maps","pieces":{"slots":1,"queue":2,"batch":4,"call_ms":50,"item_ms":1,
             "headroom_mb":10,"handle_s":20}}],
            "tenants":[{"name":"team-1","api_keys":["key-1"]}]}""";

    private static final String HEAD =
            """
            HTTP/1.1 200 OK\r
            X-Boragethread-Request-Id: %s\r
            X-Boragethread-Response-Seal: seal\r
            Content-Type: text/event-stream\r
            Connection: close\r
            \r
            """;

    private static final String FIRST = "id: 0\ndata: one\n\n";
    private static final String REST = "id: 1\ndata: two\n\n";
    private static final String INPUTS = "x-boragethread-inputs";

    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final List<Call> mCalls = new CopyOnWriteArrayList<>();
    private StoreStandIn mStore;
    private DirectUpstream mMaps;
    private SteppedUpstream mEngine;
    private ProcessHarness mHarness;
    private TestGateway mGateway;

    @BeforeClass
    public void start() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        mMaps = new DirectUpstream("maps-1", "maps");
        mMaps.start();
        mEngine = new SteppedUpstream(mCalls::add);
        for (String id : List.of("engine-1", "engine-2")) {
            mStore.put(StoreStandIn.UPSTREAM_TOPIC, id, mEngine.announcement("engines", "v1"));
        }
        mStore.put(StoreStandIn.UPSTREAM_TOPIC, "maps-1", mMaps.announcement(false));
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "config", CONFIG);
        mHarness = new ProcessHarness();
        mGateway =
                TestGateway.start(
                        mHarness,
                        "gateway-1",
                        mStore.address(),
                        "[shares]\nretry_ratio = 1\nretry_slack = 0");
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        mHarness.close();
        mStore.close();
        mMaps.close();
        mEngine.close();
        mThreads.shutdownNow();
    }

    private CompletableFuture<String> send(String id) {
        return CompletableFuture.supplyAsync(() -> post(id), mThreads);
    }

    private String post(String id) {
        try {
            return mGateway.postWithKey(
                            "/stream/x",
                            id,
                            "X-Boragethread-Pieces",
                            "1",
                            "X-Boragethread-Piece-Key",
                            "k")
                    .body();
        } catch (Exception e) {
            return e.toString();
        }
    }

    private List<Call> calls(String id) {
        return mCalls.stream().filter(call -> call.id().equals(id)).toList();
    }

    private Call awaitCall(String id, int index) {
        String what = "call " + index + " of " + id;
        Await.until(what, TestGateway.TIMEOUT, () -> calls(id).size() > index);
        return calls(id).get(index);
    }

    // Guards against a second attempt without the results of the stages.
    @Test
    public void secondUpstreamReceivesTheResultsOfTheStages() throws Exception {
        CompletableFuture<String> body = send("unbegun");
        Call first = awaitCall("unbegun", 0);
        Call second = awaitCall("unbegun", 1);
        assertFalse(second.headers().get(INPUTS).isBlank());
        assertEquals(second.headers().get(INPUTS), first.headers().get(INPUTS));
        second.write(HEAD.formatted("unbegun") + FIRST + REST);
        second.end();
        assertEquals(body.get(), FIRST + REST);
    }

    // Guards against a silent upstream that is given up when the results it was given are freed.
    @Test
    public void silentUpstreamIsKeptAfterTheResultsWereFreed() throws Exception {
        CompletableFuture<String> body = send("begun");
        Call first = awaitCall("begun", 0);
        first.write(HEAD.formatted("begun") + FIRST);
        Await.until(
                "the silence is noticed",
                TestGateway.TIMEOUT,
                () ->
                        body.isDone()
                                || mGateway.hasLogLine("\"begun\"", "\"inputs-released\"")
                                || calls("begun").size() > 1);
        first.write(REST);
        first.end();
        assertEquals(body.get(), FIRST + REST);
        assertEquals(calls("begun").size(), 1);
    }
}
