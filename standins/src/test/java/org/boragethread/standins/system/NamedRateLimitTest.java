package org.boragethread.standins.system;

import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.StoreStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests gateways whose upstreams name in their responses how many requests they accept. */
public class NamedRateLimitTest {

    private static final Duration STABLE_WINDOW = Duration.ofSeconds(3);

    /** Time for which requests are sent after the limit must be kept. */
    private static final Duration LIMITED_TIME = Duration.ofSeconds(8);

    private static final Duration WARM_UP = Duration.ofSeconds(1);
    private static final Duration SEND_INTERVAL = Duration.ofMillis(40);
    private static final double LIMIT = 1;

    /** One and a half times the limit in four seconds, and five requests. */
    private static final int MAX_ARRIVALS = (int) (1.5 * LIMIT * 4 + 5);

    private static final int OK = 200;

    private static final String CONFIG =
            """
            {"version":1,"routes":[
            {"name":"lookup","hostname":"127.0.0.1","path_prefix":"/lookup/","kind":"safe",
             "timeout_ms":2000,"target_latency_ms":400,"service":"orders","max_attempts":2}],
            "services":[{"name":"orders","health_path":"/health","max_conns":100}],
            "tenants":[{"name":"team-1","api_keys":["key-1"]}]}""";

    private StoreStandIn mStore;
    private RateLimitingUpstreams mUpstreams;
    private ProcessHarness mHarness;
    private final List<TestGateway> mGateways = new ArrayList<>();
    private final AtomicInteger mServed = new AtomicInteger();
    private int mRequests;

    @BeforeMethod
    public void startAll() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "config", CONFIG);
        mUpstreams = new RateLimitingUpstreams(mStore, "orders", List.of("orders-1", "orders-2"));
        mHarness = new ProcessHarness();
        mGateways.clear();
        for (String name : List.of("first", "second", "third")) {
            mGateways.add(TestGateway.start(mHarness, name, mStore.address()));
        }
    }

    @AfterMethod(alwaysRun = true)
    public void stopAll() throws Exception {
        mHarness.close();
        mUpstreams.close();
        mStore.close();
    }

    /** Sends requests to all gateways in turn for a time. */
    private void sendFor(Duration time) {
        long end = System.nanoTime() + time.toNanos();
        List<CompletableFuture<Void>> pending = new ArrayList<>();
        while (System.nanoTime() < end) {
            int number = mRequests++;
            pending.add(CompletableFuture.runAsync(() -> send(number)));
            LockSupport.parkNanos(SEND_INTERVAL.toNanos());
        }
        pending.forEach(CompletableFuture::join);
    }

    private void send(int number) {
        TestGateway gateway = mGateways.get(number % mGateways.size());
        try {
            HttpResponse<String> response = gateway.postWithKey("/lookup/x", "id-" + number);
            if (response.statusCode() == OK) {
                mServed.incrementAndGet();
            }
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    // Guards against entries that send an upstream more than the rate that it names to all of them.
    @Test
    public void allEntriesTogetherKeepTheLimitThatAnUpstreamNames() {
        sendFor(WARM_UP);
        String limited = mUpstreams.busiest();
        mUpstreams.nameLimit(limited, Double.toString(LIMIT));
        long namedAt = System.nanoTime();
        sendFor(STABLE_WINDOW.plus(LIMITED_TIME));
        int most = mUpstreams.mostArrivals(limited, namedAt + STABLE_WINDOW.toNanos());
        assertTrue(most <= MAX_ARRIVALS, most + " requests in 4 s, " + MAX_ARRIVALS + " allowed");
        assertTrue(mServed.get() > mRequests * 0.9, mServed + " of " + mRequests + " served");
    }
}
