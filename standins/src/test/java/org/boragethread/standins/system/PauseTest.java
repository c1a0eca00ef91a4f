package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.boragethread.standins.harness.Await;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.StoreStandIn;
import org.boragethread.standins.system.ResponseScript.Ending;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests upstreams that ask for a pause while something else happens to them. */
public class PauseTest {

    private static final String CONFIG =
            """
            {"version":1,"routes":[
            {"name":"lookup","hostname":"127.0.0.1","path_prefix":"/lookup/","kind":"safe",
             "timeout_ms":2000,"target_latency_ms":400,"service":"orders","max_attempts":1},
            {"name":"staged","hostname":"127.0.0.1","path_prefix":"/staged/","kind":"safe",
             "timeout_ms":1500,"target_latency_ms":400,"service":"orders","max_attempts":1,
             "stages":[{"service":"maps","after":[],"bytes":100}]}],
            "services":[{"name":"orders","health_path":"/health","max_conns":100},
            {"name":"maps","pieces":{"slots":1,"queue":2,"batch":4,"call_ms":50,"item_ms":1,
             "headroom_mb":10,"handle_s":4}}],
            "tenants":[{"name":"team-1","api_keys":["key-1"]}]}""";

    /** Requests that may arrive in the pause: those that were under way when it was asked for. */
    private static final int MAX_ARRIVALS = 2;

    private static final Duration REQUEST_TIME = Duration.ofSeconds(3);
    private static final Duration REQUEST_INTERVAL = Duration.ofMillis(50);

    /** After this time nothing that was sent before the pause is under way any more. */
    private static final Duration GRACE = Duration.ofMillis(500);

    /** Longer than the time between two reads of announcements. */
    private static final Duration ANNOUNCEMENT_TIME = Duration.ofMillis(1000);

    private static final int ROUNDS = 3;

    /** Time after a start in which announcements that end are kept for a while. */
    private static final Duration RENEWAL_GRACE = Duration.ofMillis(2500);

    private static final String PAUSE = "Retry-After: 20\r\nX-Boragethread-Not-Executed: 1\r\n";

    private final AtomicInteger mArrivals = new AtomicInteger();
    private final CountDownLatch mMayRespond = new CountDownLatch(1);
    private volatile boolean mPausing;
    private volatile boolean mBlocking;
    private StoreStandIn mStore;
    private ScriptedUpstream mOrders;
    private ScriptedUpstream mMaps;
    private ProcessHarness mHarness;
    private TestGateway mGateway;
    private int mRequests;

    @BeforeMethod
    public void start() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        mOrders = new ScriptedUpstream(this::respondToOrder);
        mMaps = new ScriptedUpstream(this::rejectPieces);
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "config", CONFIG);
        announceOrders(",\"born\":7");
        mHarness = new ProcessHarness();
        mGateway = TestGateway.start(mHarness, "gateway-1", mStore.address());
    }

    private void announceOrders(String moreFields) {
        String value = mOrders.announcement("orders").replaceFirst("\\}$", moreFields + "}");
        mStore.put(StoreStandIn.UPSTREAM_TOPIC, "orders-1", value);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        mMayRespond.countDown();
        mHarness.close();
        mStore.close();
        mOrders.close();
        mMaps.close();
    }

    private ResponseScript respondToOrder(ScriptedUpstream.Request request) {
        mArrivals.incrementAndGet();
        if (mBlocking) {
            awaitPermission();
        }
        return mPausing
                ? response(request, "503 Unavailable", PAUSE, 4, "full")
                : response(request, "200 OK", "X-Boragethread-Response-Seal: seal\r\n", 2, "ok");
    }

    private void awaitPermission() {
        try {
            mMayRespond.await(TestGateway.TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Rejects a call with a body that never ends. */
    private ResponseScript rejectPieces(ScriptedUpstream.Request request) {
        mArrivals.incrementAndGet();
        return response(request, "503 Unavailable", PAUSE, 100, "f");
    }

    private static ResponseScript response(
            ScriptedUpstream.Request request,
            String status,
            String headers,
            int length,
            String body) {
        String response =
                "HTTP/1.1 %s\r\nX-Boragethread-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s"
                        .formatted(status, request.id(), headers, length, body);
        return new ResponseScript(
                response.getBytes(StandardCharsets.US_ASCII), Optional.empty(), Ending.STAY_OPEN);
    }

    private int post(String path) {
        try {
            String id = "id-" + mRequests++;
            return mGateway.postWithKey(
                            path,
                            id,
                            "X-Boragethread-Pieces",
                            "1",
                            "X-Boragethread-Piece-Key",
                            "k",
                            "X-Boragethread-Deadline-Ms",
                            "1500")
                    .statusCode();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns the number of arrivals while requests are sent for a time. */
    private int arrivalsDuringRequests(Duration time) {
        int before = mArrivals.get();
        long end = System.nanoTime() + time.toNanos();
        while (System.nanoTime() < end) {
            assertEquals(post("/lookup/x"), 503);
            LockSupport.parkNanos(REQUEST_INTERVAL.toNanos());
        }
        return mArrivals.get() - before;
    }

    // Guards against a pause that is read only once the body of the rejection is complete.
    @Test
    public void pauseOfAStageHoldsThoughTheBodyOfTheRejectionNeverEnds() throws Exception {
        mStore.put(StoreStandIn.UPSTREAM_TOPIC, "maps-1", mMaps.announcement("maps"));
        mGateway.awaitLogLine("\"id\":\"maps-1\"");
        CompletableFuture<Integer> first = CompletableFuture.supplyAsync(() -> post("/staged/x"));
        Await.until("the call arrives", TestGateway.TIMEOUT, () -> mArrivals.get() > 0);
        LockSupport.parkNanos(GRACE.toNanos());
        int before = mArrivals.get();
        for (int i = 0; i < 4; i++) {
            post("/staged/x");
        }
        first.join();
        int arrivals = mArrivals.get() - before;
        assertTrue(arrivals <= MAX_ARRIVALS, arrivals + " calls in the pause");
    }

    // Guards against a pause that is lost because the announcement ended while a request ran.
    @Test
    public void pauseHoldsThoughTheAnnouncementReturnsAfterTheResponse() throws Exception {
        LockSupport.parkNanos(RENEWAL_GRACE.toNanos());
        mPausing = true;
        mBlocking = true;
        CompletableFuture<Integer> first = CompletableFuture.supplyAsync(() -> post("/lookup/x"));
        Await.until("the request arrives", TestGateway.TIMEOUT, () -> mArrivals.get() > 0);
        mStore.put(StoreStandIn.UPSTREAM_TOPIC, "orders-1", "");
        mGateway.awaitLogLine("\"outcome\":\"gone\"");
        mBlocking = false;
        mMayRespond.countDown();
        first.join();
        announceOrders(",\"born\":7");
        mGateway.awaitLogLine("\"coldMs\"", "\"id\":\"orders-1\"");
        LockSupport.parkNanos(GRACE.toNanos());
        int arrivals = arrivalsDuringRequests(REQUEST_TIME);
        assertEquals(arrivals, 0, "requests in the pause, none of which was under way before");
    }

    @DataProvider
    public Object[][] otherAnnouncements() {
        return new Object[][] {{"no start time", ""}, {"an earlier start", ",\"born\":6"}};
    }

    // Guards against a pause that ends with an announcement which is no proof of a restart.
    @Test(dataProvider = "otherAnnouncements")
    public void pauseHoldsThoughAnAnnouncementHas(String name, String fields) throws Exception {
        mPausing = true;
        assertEquals(post("/lookup/x"), 503);
        LockSupport.parkNanos(GRACE.toNanos());
        int arrivals = 0;
        for (int round = 0; round < ROUNDS; round++) {
            announceOrders(fields);
            arrivals += arrivalsDuringRequests(ANNOUNCEMENT_TIME);
            announceOrders(",\"born\":7");
            arrivals += arrivalsDuringRequests(ANNOUNCEMENT_TIME);
        }
        assertTrue(arrivals <= MAX_ARRIVALS, arrivals + " requests with " + name);
    }

    // Guards against a pause that outlives the run that asked for it.
    @Test
    public void pauseEndsWithAnAnnouncementOfALaterRun() throws Exception {
        mPausing = true;
        assertEquals(post("/lookup/x"), 503);
        mPausing = false;
        announceOrders(",\"born\":8");
        Await.until("it serves", TestGateway.TIMEOUT, () -> post("/lookup/x") == 200);
        assertEquals(List.of(post("/lookup/x"), post("/lookup/x")), List.of(200, 200));
    }
}
