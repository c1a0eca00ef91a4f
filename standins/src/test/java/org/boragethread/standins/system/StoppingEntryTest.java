package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
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
             "timeout_ms":2000,"target_latency_ms":400,"service":"orders","max_attempts":2}],
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

    private final Map<String, AtomicInteger> mArrivals = new ConcurrentHashMap<>();
    private final AtomicInteger mRequests = new AtomicInteger();
    private StoreStandIn mStore;
    private ScriptedUpstream mFirst;
    private ScriptedUpstream mSecond;
    private ProcessHarness mHarness;
    private TestGateway mGateway;

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

    /** Breaks the first attempt of each request off. */
    private ResponseScript respond(ScriptedUpstream.Request request) {
        int arrival =
                mArrivals
                        .computeIfAbsent(request.id(), id -> new AtomicInteger())
                        .incrementAndGet();
        String head =
                "HTTP/1.1 200 OK\r\nX-Boragethread-Request-Id: %s\r\n".formatted(request.id())
                        + "X-Boragethread-Response-Seal: seal\r\nContent-Length: 2\r\n\r\n";
        String response = arrival == 1 ? head : head + "ok";
        return new ResponseScript(
                response.getBytes(StandardCharsets.US_ASCII),
                Optional.empty(),
                arrival == 1 ? Ending.RESET : Ending.STAY_OPEN);
    }

    private int call() {
        try {
            String id = "id-" + mRequests.incrementAndGet();
            return mGateway.postWithKey("/lookup/x", id).statusCode();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    // Guards against a stop that gives up the retry budget which the last requests still need.
    @Test
    public void retryBudgetIsHeldUntilTheLastRequestsHaveEnded() {
        Await.until("the entry has its share", TestGateway.TIMEOUT, () -> call() == 200);
        mGateway.process().terminate();
        mGateway.awaitLogLine("\"event\":\"stop\"", "begun");
        assertEquals(call(), 200);
    }
}
