package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;
import org.boragethread.standins.harness.Await;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.DirectUpstream;
import org.boragethread.standins.store.StoreStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests a gateway process with a stand-in for the store and upstreams that it calls directly. */
public class GatewayTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private static final String CONFIG =
            """
            {"version":%d,"routes":[
            {"name":"safe","hostname":"127.0.0.1","path_prefix":"/safe/","kind":"safe",
             "timeout_ms":%d,"target_latency_ms":200,"service":"orders","max_attempts":2},
            {"name":"unsafe","hostname":"127.0.0.1","path_prefix":"/unsafe/","kind":"unsafe",
             "timeout_ms":5000,"target_latency_ms":200,"service":"orders","max_attempts":1},
            {"name":"staged","hostname":"127.0.0.1","path_prefix":"/staged/","kind":"unsafe",
             "timeout_ms":5000,"target_latency_ms":2000,"service":"orders","max_attempts":1,
             "stages":[{"service":"maps","after":[],"bytes":100},
                       {"service":"maps","after":[0],"bytes":100}]}],
            "services":[{"name":"orders","health_path":"/health","max_conns":100},
            {"name":"maps","pieces":{"slots":1,"queue":2,"batch":4,"call_ms":10,"item_ms":1,
             "headroom_mb":10,"handle_s":4}}],
            "limits":{"header_bytes":8192,"max_body_bytes":100000,"header_timeout_ms":3000,
            "idle_timeout_ms":15000},
            "tenants":[{"name":"team-1","api_keys":[%s]}]}""";

    private StoreStandIn mStore;
    private DirectUpstream mFirst;
    private DirectUpstream mSecond;
    private DirectUpstream mMaps;
    private ProcessHarness mHarness;
    private TestGateway mGateway;

    @BeforeMethod
    public void startAll() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        mFirst = new DirectUpstream("first", "orders");
        mSecond = new DirectUpstream("second", "orders");
        mMaps = new DirectUpstream("maps-1", "maps");
        for (DirectUpstream upstream : List.of(mFirst, mSecond, mMaps)) {
            upstream.start();
        }
        announce("first", mFirst, false);
        announce("second", mSecond, false);
        announce("maps-1", mMaps, false);
        configure(1, "\"key-1\"", 5000);
        mHarness = new ProcessHarness();
        mGateway = TestGateway.start(mHarness, "gateway-1", mStore.address());
    }

    private void announce(String id, DirectUpstream upstream, boolean leaving) {
        mStore.put(StoreStandIn.UPSTREAM_TOPIC, id, upstream.announcement(leaving));
    }

    private void configure(int version, String keys, int safeTimeoutMillis) {
        mStore.put(
                StoreStandIn.OPERATOR_TOPIC,
                "config",
                CONFIG.formatted(version, safeTimeoutMillis, keys));
    }

    @AfterMethod(alwaysRun = true)
    public void stopAll() {
        mHarness.close();
        mStore.close();
        mFirst.close();
        mSecond.close();
        mMaps.close();
    }

    private HttpResponse<String> post(String path, String id, String... headers) throws Exception {
        return mGateway.postWithKey(path, id, headers);
    }

    @Test
    public void completeAnswerIsReturnedWithSignatureAndTeamIsForwarded() throws Exception {
        HttpResponse<String> answer =
                post("/unsafe/x", "id-1", "X-Boragethread-Tenant", "somebody-else");
        assertEquals(answer.statusCode(), 200);
        assertTrue(answer.body().startsWith("answer to id-1 from "));
        assertEquals(
                answer.headers().firstValue("X-Boragethread-Response-Seal").get(), "seal-id-1");
        List<String> teams =
                mFirst.executedTeams().isEmpty() ? mSecond.executedTeams() : mFirst.executedTeams();
        assertEquals(teams, List.of("team-1"));
    }

    @Test
    public void unknownRouteAndUnknownKeyAreRefused() throws Exception {
        assertEquals(post("/nowhere/x", "id-1").statusCode(), 404);
        HttpResponse<String> answer =
                mGateway.calls().post("/safe/x", "body", "Authorization", "Token other");
        assertEquals(answer.statusCode(), 401);
    }

    @Test
    public void lostAnswerOfUnsafeRequestIsNotReportedAsNotRun() throws Exception {
        HttpResponse<String> answer = post("/unsafe/lost", "id-1");
        assertEquals(answer.statusCode(), 502);
        assertTrue(answer.body().contains("\"ran\":\"unknown\""));
        assertEquals(mFirst.executedRequestIds().size() + mSecond.executedRequestIds().size(), 1);
    }

    /** A gateway that has just started may make one retry for five first calls. */
    @Test
    public void safeRequestWithLostAnswerIsRetriedAtAnotherUpstream() throws Exception {
        for (int i = 0; i < 4; i++) {
            assertEquals(post("/safe/x", "earlier-" + i).statusCode(), 200);
        }
        HttpResponse<String> answer = post("/safe/half", "id-1");
        assertEquals(answer.statusCode(), 502);
        assertEquals(timesExecuted(mFirst, "id-1"), 1);
        assertEquals(timesExecuted(mSecond, "id-1"), 1);
    }

    private static int timesExecuted(DirectUpstream upstream, String id) {
        return Collections.frequency(upstream.executedRequestIds(), id);
    }

    @Test
    public void answerWithoutSignatureIsNotForwarded() throws Exception {
        HttpResponse<String> answer = post("/unsafe/unsigned", "id-1");
        assertEquals(answer.statusCode(), 502);
        assertFalse(answer.body().contains("forged"));
    }

    @Test
    public void rejectedUnsafeRequestIsRetriedElsewhereOrRefusedAsNotRun() throws Exception {
        mFirst.setRejecting(true);
        for (int i = 0; i < 4; i++) {
            assertEquals(post("/unsafe/x", "id-" + i).statusCode(), 200);
        }
        mSecond.setRejecting(true);
        HttpResponse<String> answer = post("/unsafe/x", "id-9");
        assertEquals(answer.statusCode(), 503);
        assertTrue(answer.body().contains("\"ran\":\"no\""));
        assertTrue(answer.headers().firstValue("Retry-After").isPresent());
        assertFalse(
                mFirst.executedRequestIds().contains("id-9")
                        || mSecond.executedRequestIds().contains("id-9"));
    }

    @Test
    public void stagesRunFirstAndTheirResultsAreFreed() throws Exception {
        HttpResponse<String> answer =
                post(
                        "/staged/x",
                        "id-1",
                        "X-Boragethread-Pieces",
                        "1,2",
                        "X-Boragethread-Piece-Key",
                        "k");
        assertEquals(answer.statusCode(), 200);
        List<String> inputs =
                mFirst.inputHeaders().isEmpty() ? mSecond.inputHeaders() : mFirst.inputHeaders();
        assertEquals(inputs.get(0).split(",").length, 2);
        Await.until("all results are freed", TIMEOUT, () -> mMaps.releasedHandles().size() == 3);
    }

    @Test
    public void leavingUpstreamGetsNoNewRequest() throws Exception {
        announce("first", mFirst, true);
        Await.until(
                "the gateway logs that the upstream leaves",
                TIMEOUT,
                () ->
                        mGateway.process().lines().stream()
                                .anyMatch(line -> line.contains("leaving")));
        int before = mFirst.executedRequestIds().size();
        for (int i = 0; i < 10; i++) {
            post("/safe/x", "id-" + i);
        }
        assertEquals(mFirst.executedRequestIds().size(), before);
    }

    /** An upstream that said in a response that it leaves got requests until the store said so. */
    @Test
    public void upstreamThatSaysInResponseThatItLeavesGetsNoFurtherRequest() throws Exception {
        for (int i = 0; i < 10; i++) {
            assertEquals(post("/safe/x", "id-early-" + i).statusCode(), 200);
        }
        mFirst.setLeaving(true);
        mSecond.setRejecting(true);
        assertEquals(post("/safe/x", "id-at-first").statusCode(), 200);
        mSecond.setRejecting(false);
        assertEquals(timesExecuted(mFirst, "id-at-first"), 1);
        int before = mFirst.receivedRequests();
        for (int i = 0; i < 10; i++) {
            assertEquals(post("/safe/x", "id-" + i).statusCode(), 200);
        }
        announce("first", mFirst, false);
        assertEquals(post("/safe/x", "id-after-announcement").statusCode(), 200);
        assertEquals(mFirst.receivedRequests(), before);
        mSecond.setLeaving(true);
        assertEquals(post("/unsafe/x", "id-last").statusCode(), 200);
        HttpResponse<String> refused = post("/unsafe/x", "id-refused");
        assertEquals(refused.statusCode(), 503);
        assertTrue(refused.body().contains("\"ran\":\"no\""));
    }

    /** An upstream that asked for a pause got further requests during it. */
    @Test
    public void pausingUpstreamsGetNoRequestAndCallersAreRefusedAtOnce() throws Exception {
        for (DirectUpstream upstream : List.of(mFirst, mSecond)) {
            upstream.setRejecting(true);
            upstream.setPause("20");
        }
        HttpResponse<String> first = post("/unsafe/x", "id-first");
        assertEquals(first.statusCode(), 503);
        int received = mFirst.receivedRequests() + mSecond.receivedRequests();
        assertTrue(received <= 2, received + " requests");
        long start = System.nanoTime();
        for (int i = 0; i < 5; i++) {
            HttpResponse<String> refused = post("/safe/x", "id-" + i);
            assertEquals(refused.statusCode(), 503);
            double after =
                    Double.parseDouble(refused.headers().firstValue("Retry-After").orElseThrow());
            assertTrue(after > 10 && after < 21, "Retry-After " + after);
        }
        assertTrue(System.nanoTime() - start < Duration.ofSeconds(2).toNanos());
        assertTrue(mFirst.receivedRequests() + mSecond.receivedRequests() <= 2);
    }

    /** A request whose deadline is later than the pause is served after it. */
    @Test
    public void requestWaitsForTheEndOfAShortPause() throws Exception {
        announce("second", mSecond, true);
        Await.until("second is leaving", TIMEOUT, () -> mGateway.hasLogLine("\"leaving\""));
        mFirst.setRejecting(true);
        mFirst.setPause("0.6");
        assertEquals(post("/unsafe/x", "id-rejected").statusCode(), 503);
        mFirst.setRejecting(false);
        assertEquals(post("/unsafe/x", "id-waiting").statusCode(), 200);
        assertEquals(timesExecuted(mFirst, "id-waiting"), 1);
    }

    @Test
    public void routeTimeoutEndsRequestWithGatewayTimeout() throws Exception {
        configure(2, "\"key-1\"", 300);
        Await.until(
                "the new timeout is applied",
                TIMEOUT,
                () -> mGateway.hasLogLine("\"version\":\"2\""));
        long start = System.nanoTime();
        assertEquals(post("/safe/silent", "id-1").statusCode(), 504);
        assertTrue(System.nanoTime() - start < Duration.ofMillis(2000).toNanos());
    }

    @Test
    public void revokedKeyIsRefusedWhileStoreIsDown() throws Exception {
        assertEquals(post("/safe/x", "id-1").statusCode(), 200);
        mStore.setDown(true);
        configure(2, "", 5000);
        Await.until(
                "requests with an API key are refused",
                Duration.ofSeconds(6),
                () -> statusOf("/safe/x") == 503);
        mStore.setDown(false);
        Await.until("the revoked key is rejected", TIMEOUT, () -> statusOf("/safe/x") == 401);
    }

    private int statusOf(String path) {
        try {
            return post(path, "id-s").statusCode();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** An older copy of the store brought back a revoked key and an upstream that had left. */
    @Test
    public void restoreOfOlderCopyUndoesNoRevocationAndNoLeave() throws Exception {
        assertEquals(post("/safe/x", "id-1").statusCode(), 200);
        mStore.copyRecords();
        configure(2, "\"key-2\"", 5000);
        announce("first", mFirst, true);
        Await.until("the key is revoked", TIMEOUT, () -> statusOf("/safe/x") == 401);
        Await.until("first is leaving", TIMEOUT, () -> mGateway.hasLogLine("\"leaving\""));
        int before = mFirst.receivedRequests();
        mStore.restoreCopy();
        Await.until("the restore is noticed", TIMEOUT, () -> mGateway.hasLogLine("\"restored\""));
        Await.until(
                "the older configuration is read",
                TIMEOUT,
                () -> mGateway.hasLogLine("older-than-current"));
        assertEquals(statusOf("/safe/x"), 401);
        configure(3, "\"key-1\"", 5000);
        Await.until("the rewritten record is read", TIMEOUT, () -> statusOf("/safe/x") == 200);
        for (int i = 0; i < 10; i++) {
            assertEquals(post("/unsafe/x", "id-late-" + i).statusCode(), 200);
        }
        assertEquals(mFirst.receivedRequests(), before);
    }

    /** An older copy of the store ended an evacuation that was about to be written again. */
    @Test
    public void restoreOfOlderCopyKeepsEvacuation() throws Exception {
        assertEquals(statusOf("/safe/x"), 200);
        mStore.copyRecords();
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "evacuate/north", "{}");
        Await.until("north is evacuated", TIMEOUT, () -> mGateway.hasLogLine("\"evacuation\""));
        int before = mFirst.receivedRequests() + mSecond.receivedRequests();
        mStore.restoreCopy();
        Await.until(
                "the older configuration is read",
                TIMEOUT,
                () -> mGateway.hasLogLine("older-than-current"));
        assertEquals(statusOf("/safe/x"), 503);
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "evacuate/north", "{}");
        assertEquals(statusOf("/safe/x"), 503);
        assertEquals(mFirst.receivedRequests() + mSecond.receivedRequests(), before);
    }

    @Test
    public void gracefulStopAnswersRequestsAndExitsWithZero() throws Exception {
        mGateway.process().terminate();
        Await.until("gateway is not ready", TIMEOUT, () -> mGateway.readiness() != 200);
        HttpResponse<String> answer = post("/unsafe/x", "id-1");
        assertEquals(answer.statusCode(), 200);
        assertEquals(answer.headers().firstValue("Connection").orElse(""), "close");
        assertEquals(mGateway.process().awaitExit(TIMEOUT), 0);
    }

    /** One request waits for its stages, another one for a silent upstream. */
    @Test
    public void stopAnswersRequestsThatCannotBeCompletedInTheGracePeriod() throws Exception {
        announce("maps-1", mMaps, true);
        Await.until("maps-1 is leaving", TIMEOUT, () -> mGateway.hasLogLine("\"leaving\""));
        CompletableFuture<HttpResponse<String>> waiting =
                postAsync(
                        "/staged/x",
                        "id-waiting",
                        "X-Boragethread-Pieces",
                        "1,0",
                        "X-Boragethread-Piece-Key",
                        "k");
        CompletableFuture<HttpResponse<String>> sent = postAsync("/unsafe/silent", "id-sent");
        Await.until("one is admitted", TIMEOUT, () -> mGateway.hasLogLine("id-waiting"));
        Await.until(
                "the other one is sent",
                TIMEOUT,
                () -> timesExecuted(mFirst, "id-sent") + timesExecuted(mSecond, "id-sent") == 1);
        mGateway.process().terminate();
        assertEquals(waiting.get().statusCode(), 503);
        assertTrue(waiting.get().headers().firstValue("Retry-After").isPresent());
        assertEquals(sent.get().statusCode(), 502);
        assertEquals(mGateway.process().awaitExit(TIMEOUT), 0);
    }

    private CompletableFuture<HttpResponse<String>> postAsync(
            String path, String id, String... headers) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return post(path, id, headers);
                    } catch (Exception e) {
                        throw new IllegalStateException(e);
                    }
                });
    }

    @Test
    public void logRecordsEventsOfRequestWithItsId() throws Exception {
        post("/unsafe/lost", "id-story");
        mGateway.process()
                .awaitLine(Pattern.compile("refused.*id-story|id-story.*refused"), TIMEOUT);
        for (String event : List.of("admitted", "sent", "refused")) {
            assertTrue(
                    mGateway.process().lines().stream()
                            .anyMatch(line -> line.contains("id-story") && line.contains(event)),
                    event);
        }
    }
}
