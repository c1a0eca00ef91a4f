package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.boragethread.standins.harness.Await;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.StoreStandIn;
import org.boragethread.standins.system.ResponseScript.Ending;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what a stopping entry still has for the requests that it serves. */
public class StoppingEntryTest {

    private static final String CONFIG =
            """
            {"version":1,"routes":[
            {"name":"lookup","hostname":"127.0.0.1","path_prefix":"/lookup/","kind":"safe",
             "timeout_ms":2000,"target_latency_ms":400,"service":"orders","max_attempts":2},
            {"name":"order","hostname":"127.0.0.1","path_prefix":"/order/","kind":"unsafe",
             "timeout_ms":9000,"target_latency_ms":400,"service":"orders","max_attempts":1}],
            "services":[{"name":"orders","max_conns":100}],
            "tenants":[{"name":"team-1","api_keys":["key-1"]}]}""";

    /** No retry is earned by first calls, so each one needs the entry's share of the slack. */
    private static final String SHARES =
            """
            [shares]
            retry_ratio = 0
            retry_slack = 40
            retry_window_s = 1
            """;

    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nX-Boragethread-Request-Id: %s\r\n"
                    + "X-Boragethread-Response-Seal: seal\r\nContent-Length: 2\r\n\r\n";

    private static final String LOOKUP = "/lookup/x";
    private static final String BODY = "ok";

    /** An upstream that is still at work in the last sixth of the grace period may be cut off. */
    private static final Duration SERVED = TestGateway.GRACE_PERIOD.multipliedBy(5).dividedBy(6);

    private final Map<String, AtomicInteger> mArrivals = new ConcurrentHashMap<>();
    private final AtomicInteger mRequests = new AtomicInteger();
    private final CompletableFuture<Long> mStopNanos = new CompletableFuture<>();
    private StoreStandIn mStore;
    private ScriptedUpstream mFirst;
    private ScriptedUpstream mSecond;
    private ProcessHarness mHarness;
    private TestGateway mGateway;
    private volatile boolean mOrderArrived;

    @BeforeMethod
    public void start() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        mFirst = new ScriptedUpstream(this::respond);
        mSecond = new ScriptedUpstream(this::respond);
        mStore.put(StoreStandIn.UPSTREAM_TOPIC, "orders-1", mFirst.announcement("orders"));
        mStore.put(StoreStandIn.UPSTREAM_TOPIC, "orders-2", mSecond.announcement("orders"));
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "config", CONFIG);
        mHarness = new ProcessHarness();
        mGateway = TestGateway.start(mHarness, "gateway-1", mStore.address(), SHARES);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        mHarness.close();
        mStore.close();
        mFirst.close();
        mSecond.close();
    }

    private ResponseScript respond(ScriptedUpstream.Request request) {
        if (!request.path().startsWith("/order/")) {
            return respondToLookup(request);
        }
        mOrderArrived = true;
        LockSupport.parkNanos(mStopNanos.join() + SERVED.toNanos() - System.nanoTime());
        return response(HEAD.formatted(request.id()) + BODY, Ending.STAY_OPEN);
    }

    /** Breaks the first attempt of each lookup off. */
    private ResponseScript respondToLookup(ScriptedUpstream.Request request) {
        int arrival =
                mArrivals
                        .computeIfAbsent(request.id(), id -> new AtomicInteger())
                        .incrementAndGet();
        String head = HEAD.formatted(request.id());
        return arrival == 1
                ? response(head, Ending.RESET)
                : response(head + BODY, Ending.STAY_OPEN);
    }

    private static ResponseScript response(String text, Ending ending) {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        return new ResponseScript(bytes, Optional.empty(), ending);
    }

    private int call(String path) {
        try {
            String id = "id-" + mRequests.incrementAndGet();
            return mGateway.postWithKey(path, id).statusCode();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    // Guards against a stop that gives up the retry budget which the last requests still need.
    @Test
    public void retryBudgetIsHeldUntilTheLastRequestsHaveEnded() {
        Await.until("the entry has its share", TestGateway.TIMEOUT, () -> call(LOOKUP) == 200);
        mGateway.process().terminate();
        mGateway.awaitLogLine("\"event\":\"stop\"", "begun");
        assertEquals(call(LOOKUP), 200);
    }

    // Guards against a grace period of which a fixed time is cut off, however short it is.
    @Test
    public void upstreamAtWorkIsAwaitedUntilTheLastSixthOfTheGracePeriod() throws Exception {
        CompletableFuture<Integer> order = CompletableFuture.supplyAsync(() -> call("/order/x"));
        Await.until("the order arrives", TestGateway.TIMEOUT, () -> mOrderArrived);
        mGateway.process().terminate();
        mStopNanos.complete(System.nanoTime());
        assertEquals((int) order.get(), 200);
    }
}
