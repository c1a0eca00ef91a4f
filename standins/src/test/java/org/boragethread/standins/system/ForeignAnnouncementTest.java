package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.boragethread.standins.harness.Await;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.DirectUpstream;
import org.boragethread.standins.store.StoreStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests gateways beside announcements of another writer that cannot be used. */
public class ForeignAnnouncementTest {

    private static final String CONFIG =
            """
            {"version":%d,"routes":[
            {"name":"order","hostname":"127.0.0.1","path_prefix":"/order/","kind":"unsafe",
             "timeout_ms":3000,"target_latency_ms":400,"service":"orders","max_attempts":1}],
            "services":[{"name":"orders","max_conns":100}],
            "tenants":[{"name":"team-1","api_keys":[%s]}]}""";

    private static final List<String> FOREIGN =
            List.of(
                    foreign("\"127.0.0.1:9\"", "1764936000000000000"),
                    foreign("\"127.0.0.1:9\"", "1e999"),
                    foreign("\"127.0.0.1:9\"", "\"soon\""),
                    foreign("\"127.0.0.1:99999\"", "0"),
                    foreign("\"engine.example:80\"", "0"),
                    foreign("[127]", "0"),
                    "{}",
                    "[".repeat(5000),
                    nested("[", "]", 60_000),
                    foreign(nested("[", "]", 60_000), "0"),
                    foreign("\"127.0.0.1:9\"", nested("{\"a\":", "}", 30_000)),
                    foreign("\"127.0.0.1:9\"", "0,\"extra\":" + nested("[", "]", 60_000)),
                    foreign("\"127.0.0.1:9\"", "1" + "0".repeat(100_000)),
                    foreign("\"127.0.0.1:9\"", "0,\"born\":1e400"),
                    foreign("\"127.0.0.1:9\"", "0,\"born\":-1" + "0".repeat(400)),
                    foreign("\"127.0.0.1:0\"", "0"),
                    foreign("\"127.0.0.1:65536\"", "0"),
                    foreign("\"127.0.0.1:4294967376\"", "0"),
                    foreign("\"127.0.0.1:-80\"", "0"),
                    "\u0000\u0007");

    private static final int UPSTREAMS = 12;

    /** Shorter than the longest pause between two snapshots of a follower that fails. */
    private static final Duration STEP = Duration.ofMillis(400);

    /** Bound of the settings for the time in which an entry takes note of a removal. */
    private static final Duration LEAVE_TIME = Duration.ofSeconds(2);

    private StoreStandIn mStore;
    private DirectUpstream mUpstream;
    private ProcessHarness mHarness;
    private TestGateway mGateway;

    private static String foreign(String address, String coldTime) {
        return """
        {"service":"orders","address":%s,"zone":"north","version":"v1","slots":64,
         "state":"ready","cold_left_ms":%s,"seq":1}"""
                .formatted(address, coldTime);
    }

    private static String nested(String open, String close, int depth) {
        return open.repeat(depth) + "1" + close.repeat(depth);
    }

    @BeforeMethod
    public void start() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        mUpstream = new DirectUpstream("orders-0", "orders");
        mUpstream.start();
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "config", CONFIG.formatted(1, "\"key-1\""));
        mStore.put(StoreStandIn.UPSTREAM_TOPIC, "orders-0", mUpstream.announcement(false));
        mHarness = new ProcessHarness();
        mGateway = startGateway("gateway-1");
        for (int i = 0; i < FOREIGN.size(); i++) {
            mStore.put(StoreStandIn.UPSTREAM_TOPIC, "foreign-" + i, FOREIGN.get(i));
        }
    }

    private TestGateway startGateway(String name) throws Exception {
        String settings = "leave_ms = %d\n".formatted(LEAVE_TIME.toMillis());
        return TestGateway.start(mHarness, name, mStore.address(), settings);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mHarness.close();
        mStore.close();
        mUpstream.close();
    }

    // Guards against upstreams that stay in use after their removal beside a foreign record.
    @Test
    public void everyRemovalIsInForceInTime() throws Exception {
        List<String> late = new ArrayList<>();
        for (int i = 1; i < UPSTREAMS; i++) {
            mStore.put(StoreStandIn.UPSTREAM_TOPIC, "orders-" + i, mUpstream.announcement(false));
        }
        LockSupport.parkNanos(LEAVE_TIME.toNanos());
        for (int i = 1; i < UPSTREAMS; i++) {
            mStore.put(StoreStandIn.UPSTREAM_TOPIC, "orders-" + i, "");
            LockSupport.parkNanos(STEP.toNanos());
        }
        LockSupport.parkNanos(LEAVE_TIME.toNanos());
        for (int i = 1; i < UPSTREAMS; i++) {
            String id = "\"orders-" + i + "\"";
            if (!mGateway.hasLogLine("\"event\":\"upstream\"", id, "\"gone\"")) {
                late.add(id);
            }
        }
        assertEquals(late, List.of());
        assertEquals(mGateway.postWithKey("/order/x", "id-1").statusCode(), 200);
    }

    // Guards against an entry that is never ready because of a record that it found at its start.
    @Test
    public void entryThatStartsBesideForeignRecordsIsReady() throws Exception {
        TestGateway late = startGateway("gateway-2");
        assertEquals(late.postWithKey("/order/x", "id-2").statusCode(), 200);
        late.awaitSettledUpstreams();
    }

    // Guards against odd records that end an entry or its reading, also behind a relay.
    @Test
    public void entriesBehindARelayFollowBesideForeignRecords() throws Exception {
        TestGateway follower = startGateway("gateway-2");
        Await.until(
                "gateway-2 has found all members",
                TestGateway.TIMEOUT,
                () ->
                        follower.process().lines().stream()
                                .anyMatch(line -> line.split("@").length == 3));
        for (int i = 0; i < FOREIGN.size(); i++) {
            mStore.put(StoreStandIn.UPSTREAM_TOPIC, "late-" + i, FOREIGN.get(i));
            mStore.put(StoreStandIn.UPSTREAM_TOPIC, "foreign-" + i, "");
        }
        mStore.put(StoreStandIn.UPSTREAM_TOPIC, "orders-1", mUpstream.announcement(false));
        for (TestGateway gateway : List.of(mGateway, follower)) {
            gateway.awaitLogLine("\"event\":\"upstream\"", "\"orders-1\"", "\"in\"");
        }
        mStore.put(StoreStandIn.UPSTREAM_TOPIC, "orders-1", "");
        for (TestGateway gateway : List.of(mGateway, follower)) {
            gateway.awaitLogLine("\"event\":\"upstream\"", "\"orders-1\"", "\"gone\"");
            assertEquals(statusOf(gateway, "/order/x"), 200);
            assertTrue(gateway.process().isAlive());
            assertFalse(gateway.hasLogLine("callback-failed"));
        }
    }

    // Guards against a configuration, an evacuation or a revoked key that a foreign record delays.
    @Test
    public void changesOfOperatorsAreInForceBesideForeignRecords() throws Exception {
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "foreign", FOREIGN.get(0));
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "evacuate/\u0007", "1");
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "evacuate/north", "1");
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "config", CONFIG.formatted(2, "\"key-2\""));
        Await.until("the key is revoked", LEAVE_TIME, () -> statusOf(mGateway, "/order/x") == 401);
        mGateway.awaitLogLine("\"event\":\"evacuation\"", "\"north\"", "\"out\"");
        assertEquals(mGateway.readiness(), 200);
        assertTrue(mGateway.process().isAlive());
    }

    private static int statusOf(TestGateway gateway, String path) {
        try {
            return gateway.postWithKey(path, "id-3").statusCode();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
