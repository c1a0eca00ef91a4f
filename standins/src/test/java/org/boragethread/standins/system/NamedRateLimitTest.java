package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.boragethread.standins.harness.Await;
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

    private static final List<String> UPSTREAMS = List.of("orders-1", "orders-2");

    /** Time after a start until an entry uses its share; the settings' and one window. */
    private static final Duration LEASE_TIME = Duration.ofSeconds(8);

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
        mUpstreams = new RateLimitingUpstreams(mStore, "orders", UPSTREAMS);
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

    // Guards against callers that wait in vain, and against a limit of which half is not used.
    @Test
    public void limitsOfAWholeGroupAreUsedAndOtherRequestsAreRefusedAtOnce() throws Exception {
        sendFor(WARM_UP);
        for (String id : UPSTREAMS) {
            mUpstreams.nameLimit(id, "4");
        }
        sendFor(STABLE_WINDOW.plus(LEASE_TIME));
        int before = totalArrivals();
        sendFor(LIMITED_TIME);
        double used = (totalArrivals() - before) / (double) LIMITED_TIME.toSeconds();
        assertTrue(used >= 0.9 * 8 && used <= 1.5 * 8, used + " a second of 8");
        HttpResponse<String> refusal = refusal();
        assertTrue(refusal.body().contains("\"ran\":\"no\""), refusal.body());
        double retryAfter = Double.parseDouble(refusal.headers().firstValue("Retry-After").get());
        assertTrue(retryAfter >= 0.3 && retryAfter < 5, "Retry-After " + retryAfter);
    }

    /** Sends requests of which each waits at most for the present window, until one is refused. */
    private HttpResponse<String> refusal() throws Exception {
        for (int i = 0; i < 200; i++) {
            HttpResponse<String> response =
                    mGateways
                            .get(0)
                            .postWithKey(
                                    "/lookup/x", "late-" + i, "X-Boragethread-Deadline-Ms", "100");
            if (response.statusCode() == 503) {
                return response;
            }
        }
        throw new AssertionError("no request was refused");
    }

    private int totalArrivals() {
        return UPSTREAMS.stream().mapToInt(mUpstreams::arrivals).sum();
    }

    // Guards against entries without a share that do not learn that a limit has ended.
    @Test
    public void wholeRateIsBackAtEveryEntryWhenTheLimitEnds() throws Exception {
        sendFor(WARM_UP);
        for (String id : UPSTREAMS) {
            mUpstreams.nameLimit(id, "0.5");
        }
        sendFor(STABLE_WINDOW);
        for (TestGateway gateway : mGateways) {
            gateway.awaitLogLine("\"outcome\":\"named\"");
        }
        UPSTREAMS.forEach(mUpstreams::withdrawLimit);
        Await.until("the limits end", TestGateway.TIMEOUT, this::areLimitsGone);
        int before = mServed.get();
        int sent = mRequests;
        sendFor(WARM_UP);
        assertEquals(mServed.get() - before, mRequests - sent);
    }

    private boolean areLimitsGone() {
        sendFor(SEND_INTERVAL.multipliedBy(mGateways.size()));
        return mGateways.stream().allMatch(this::hasSeenAllLimitsEnd);
    }

    private boolean hasSeenAllLimitsEnd(TestGateway gateway) {
        return UPSTREAMS.stream()
                .allMatch(
                        id ->
                                gateway.hasLogLine(
                                        "\"outcome\":\"withdrawn\"", "\"upstream\":\"" + id));
    }
}
