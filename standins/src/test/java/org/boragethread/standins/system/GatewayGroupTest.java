package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.boragethread.standins.harness.Await;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.DirectUpstream;
import org.boragethread.standins.store.StoreStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests three gateway processes, of which the oldest schedules the pieces of all three. */
public class GatewayGroupTest {

    private static final String CONFIG =
            """
            {"version":1,"routes":[
            {"name":"staged","hostname":"127.0.0.1","path_prefix":"/staged/","kind":"unsafe",
             "timeout_ms":5000,"target_latency_ms":2000,"service":"orders","max_attempts":1,
             "stages":[{"service":"maps","after":[],"bytes":100}]}],
            "services":[{"name":"orders","health_path":"/health","max_conns":100},
            {"name":"maps","pieces":{"slots":1,"queue":2,"batch":4,"call_ms":10,"item_ms":1,
             "headroom_mb":10,"handle_s":4}}],
            "tenants":[{"name":"team-1","api_keys":["key-1"]}]}""";

    private StoreStandIn mStore;
    private DirectUpstream mOrders;
    private DirectUpstream mMaps;
    private ProcessHarness mHarness;
    private TestGateway mOldest;
    private TestGateway mMiddle;
    private TestGateway mYoungest;
    private final List<Integer> mStatuses = new ArrayList<>();

    @BeforeMethod
    public void startAll() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        mOrders = new DirectUpstream("orders-1", "orders");
        mMaps = new DirectUpstream("maps-1", "maps");
        mOrders.start();
        mMaps.start();
        mStore.put(StoreStandIn.UPSTREAM_TOPIC, "orders-1", mOrders.announcement(false));
        mStore.put(StoreStandIn.UPSTREAM_TOPIC, "maps-1", mMaps.announcement(false));
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "config", CONFIG);
        mHarness = new ProcessHarness();
        mOldest = TestGateway.start(mHarness, "oldest", mStore.address());
        mMiddle = TestGateway.start(mHarness, "middle", mStore.address());
        mYoungest = TestGateway.start(mHarness, "youngest", mStore.address());
        Await.until(
                "the youngest gateway has found all members",
                TestGateway.TIMEOUT,
                () ->
                        mYoungest.process().lines().stream()
                                .anyMatch(line -> line.split("@").length == 4));
    }

    @AfterMethod(alwaysRun = true)
    public void stopAll() {
        mHarness.close();
        mStore.close();
        mOrders.close();
        mMaps.close();
    }

    private HttpResponse<String> stagedPost(String path, String id) throws Exception {
        return mYoungest.postWithKey(
                path, id, "X-Boragethread-Pieces", "2", "X-Boragethread-Piece-Key", "k");
    }

    /**
     * Posts until the expected coordinator has scheduled a request. On a busy machine a coordinator
     * that confirms late is skipped for a while, so this may take several requests.
     */
    private void postUntilScheduledBy(TestGateway coordinator, String idPrefix) {
        Await.until(
                coordinator.process().name() + " schedules pieces of the youngest gateway",
                TestGateway.TIMEOUT,
                () -> {
                    int status = statusOf("/staged/x", idPrefix + mStatuses.size());
                    mStatuses.add(status);
                    return status == 200 && coordinator.hasLogLine("\"request\":\"" + idPrefix);
                });
    }

    @Test
    public void oldestGatewaySchedulesPiecesOfAll() {
        postUntilScheduledBy(mOldest, "id-first-");
    }

    @Test
    public void nextOldestGatewayTakesOverHeldResultsWhenOldestIsKilled() throws Exception {
        CompletableFuture<Integer> held =
                CompletableFuture.supplyAsync(() -> statusOf("/staged/silent", "id-held"));
        Await.until(
                "a request holds results",
                TestGateway.TIMEOUT,
                () -> mOrders.executedRequestIds().contains("id-held"));
        mOldest.process().kill();
        postUntilScheduledBy(mMiddle, "id-after-");
        mYoungest.awaitLogLine("\"event\":\"held-results\"");
        assertEquals(held.get().intValue(), 504);
        Await.until(
                "the results are freed through the next gateway",
                TestGateway.TIMEOUT,
                () -> freedResults() == 2);
    }

    /** Counts distinct results, because a piece may run again and its result be freed again. */
    private long freedResults() {
        return mMaps.releasedHandles().stream()
                .filter(result -> result.contains("id-held"))
                .distinct()
                .count();
    }

    private int statusOf(String path, String id) {
        try {
            return stagedPost(path, id).statusCode();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
