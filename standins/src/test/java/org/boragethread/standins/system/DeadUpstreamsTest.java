package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.DirectUpstream;
import org.boragethread.standins.store.StoreStandIn;
import org.testng.Reporter;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests gateways beside announcements of upstreams that died without removing them. */
public class DeadUpstreamsTest {

    private static final int SOUND = 12;
    private static final int DEAD = 60;

    /** Time after the first request from which on requests must be served. */
    private static final Duration WARM_UP = Duration.ofSeconds(2);

    /** Longer than the time for which a failed upstream is avoided at most, 4.8 s. */
    private static final Duration LOAD_TIME = Duration.ofSeconds(14);

    private static final Duration SEND_INTERVAL = Duration.ofMillis(12);
    private static final double MIN_SERVED = 0.99;

    /** Defaults of the settings for the retries of all entries together. */
    private static final double RETRY_RATIO = 0.2;

    private static final int RETRY_SLACK = 10;

    private static final String CONFIG =
            """
            {"version":1,"routes":[
            {"name":"lookup","hostname":"127.0.0.1","path_prefix":"/lookup/","kind":"safe",
             "timeout_ms":2000,"target_latency_ms":400,"service":"orders","max_attempts":2},
            {"name":"order","hostname":"127.0.0.1","path_prefix":"/order/","kind":"unsafe",
             "timeout_ms":2000,"target_latency_ms":400,"service":"orders","max_attempts":1}],
            "services":[{"name":"orders","health_path":"/health","max_conns":100}],
            "tenants":[{"name":"team-1","api_keys":["key-1"]}]}""";

    private final List<DirectUpstream> mUpstreams = new ArrayList<>();
    private final List<TestGateway> mGateways = new ArrayList<>();
    private StoreStandIn mStore;
    private ProcessHarness mHarness;

    /** Returns the announcement of an upstream of which only the announcement is left. */
    private static String dead(int port) {
        return """
        {"service":"orders","address":"127.0.0.1:%d","zone":"north","state":"ready",
         "version":"v1","slots":64,"cold_left_ms":0,"seq":1}"""
                .formatted(port);
    }

    private static Set<Integer> closedPorts() throws IOException {
        Set<Integer> ports = new HashSet<>();
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < DEAD; i++) {
            ServerSocket socket = new ServerSocket(0);
            sockets.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    @BeforeMethod
    public void startAll() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "config", CONFIG);
        for (int i = 0; i < SOUND; i++) {
            DirectUpstream upstream = new DirectUpstream("sound-" + i, "orders");
            upstream.start();
            mUpstreams.add(upstream);
            mStore.put(StoreStandIn.UPSTREAM_TOPIC, "sound-" + i, upstream.announcement(false));
        }
        mHarness = new ProcessHarness();
        for (String name : List.of("first", "second")) {
            mGateways.add(TestGateway.start(mHarness, name, mStore.address()));
        }
        // Closed after the start of the gateways, so that none of them listens at one of the ports.
        for (int port : closedPorts()) {
            mStore.put(StoreStandIn.UPSTREAM_TOPIC, "dead-" + port, dead(port));
        }
    }

    @AfterMethod(alwaysRun = true)
    public void stopAll() {
        mHarness.close();
        mUpstreams.forEach(DirectUpstream::close);
        mStore.close();
    }

    // Guards against requests that are refused while upstreams are idle, as each of the attempts
    // that they have reaches a dead address.
    @Test
    public void requestsFindTheUpstreamsThatLive() {
        List<CompletableFuture<HttpResponse<String>>> all = new ArrayList<>();
        int first = 0;
        long start = System.nanoTime();
        long elapsed = 0;
        while (elapsed < LOAD_TIME.toNanos()) {
            all.add(post(all.size()));
            LockSupport.parkNanos(SEND_INTERVAL.toNanos());
            elapsed = System.nanoTime() - start;
            if (elapsed < WARM_UP.toNanos()) {
                first = all.size();
            }
        }
        List<String> refusals = new ArrayList<>();
        int refusedLater = 0;
        for (int i = 0; i < all.size(); i++) {
            HttpResponse<String> response = all.get(i).join();
            if (response.statusCode() != 200) {
                refusals.add(response.body());
                refusedLater += i >= first ? 1 : 0;
            }
        }
        int later = all.size() - first;
        int arrived = mUpstreams.stream().mapToInt(DirectUpstream::receivedRequests).sum();
        String figures =
                "%d of %d refused, %d of %d after the warm-up; %d arrived; %s"
                        .formatted(
                                refusals.size(),
                                all.size(),
                                refusedLater,
                                later,
                                arrived,
                                refusals.stream().findFirst().orElse(""));
        Reporter.log(figures, true);
        assertTrue(later - refusedLater >= MIN_SERVED * later, figures);
        assertTrue(arrived <= all.size() * (1 + RETRY_RATIO) + RETRY_SLACK, figures);
        assertEquals(executedTwice(), 0, figures);
    }

    private CompletableFuture<HttpResponse<String>> post(int number) {
        String path = number % 4 < 2 ? "/lookup/x" : "/order/x";
        return mGateways
                .get(number % mGateways.size())
                .calls()
                .postAsync(
                        path,
                        "body",
                        "X-Boragethread-Request-Id",
                        "id-" + number,
                        "Authorization",
                        "Token key-1");
    }

    private long executedTwice() {
        List<String> ids =
                mUpstreams.stream().flatMap(u -> u.executedRequestIds().stream()).toList();
        return ids.size() - ids.stream().distinct().count();
    }
}
