package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.locks.LockSupport;
import org.boragethread.standins.harness.Await;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.proxy.ConnectionFaults;
import org.boragethread.standins.proxy.FaultProxy;
import org.boragethread.standins.proxy.Faults;
import org.boragethread.standins.store.StoreStandIn;
import org.boragethread.standins.system.StreamCaller.Received;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests streams at an entry that stood still or was cut off while engines changed their version.
 */
public class OutOfStepEntryTest {

    private static final int STREAMS = 8;
    private static final int UNAVAILABLE = 503;

    /** Leaves each entry enough of the retry budget to continue all streams. */
    private static final String SHARES =
            """
            leave_ms = 2000
            [shares]
            retry_ratio = 1
            retry_slack = 200
            retry_window_s = 1
            """;

    private static final String CONFIG =
            """
            {"version":1,"routes":[
            {"name":"draft","hostname":"127.0.0.1","path_prefix":"/draft/","kind":"streaming",
             "can_resume":true,"timeout_ms":9000,"target_latency_ms":400,"gap_aim_ms":4000,
             "service":"engines","max_attempts":3},
            {"name":"once","hostname":"127.0.0.1","path_prefix":"/once/","kind":"streaming",
             "can_resume":true,"timeout_ms":9000,"target_latency_ms":400,"gap_aim_ms":4000,
             "service":"engines","max_attempts":1}],
            "services":[{"name":"engines","health_path":"/health","max_conns":100}],
            "tenants":[{"name":"team-1","api_keys":["key-1"]}]}""";

    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final StreamCaller mCaller = new StreamCaller();
    private StoreStandIn mStore;
    private VersionedEngines mEngines;
    private ProcessHarness mHarness;
    private FaultProxy mStoreProxy;
    private TestGateway mInTouch;
    private TestGateway mOutOfStep;

    /** What happens to the entry. */
    private enum Disturbance {
        STANDS_STILL,
        STORE_SILENT,
        STORE_REFUSES
    }

    @BeforeMethod
    public void startAll() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "config", CONFIG);
        mEngines = new VersionedEngines(mStore).start("old-1", "v1").start("old-2", "v1");
        mHarness = new ProcessHarness();
        mStoreProxy = FaultProxy.start(mStore.address(), 7);
    }

    /** Starts both entries; the one that starts first reads the store, the other one through it. */
    private void startGateways(boolean inTouchFirst) throws Exception {
        if (inTouchFirst) {
            mInTouch = TestGateway.start(mHarness, "in-touch", mStore.address(), SHARES);
        }
        mOutOfStep = TestGateway.start(mHarness, "out-of-step", mStoreProxy.address(), SHARES);
        if (!inTouchFirst) {
            mInTouch = TestGateway.start(mHarness, "in-touch", mStore.address(), SHARES);
        }
        mInTouch.awaitSettledUpstreams();
        mOutOfStep.awaitSettledUpstreams();
    }

    @AfterMethod(alwaysRun = true)
    public void stopAll() throws Exception {
        mHarness.close();
        mStoreProxy.close();
        mEngines.close();
        mStore.close();
    }

    @AfterClass(alwaysRun = true)
    public void stopThreads() {
        mThreads.shutdownNow();
    }

    @DataProvider
    private static Object[][] disturbances() {
        List<Object[]> cells = new ArrayList<>();
        for (Disturbance disturbance : Disturbance.values()) {
            for (int seconds : new int[] {1, 2}) {
                cells.add(new Object[] {disturbance, Duration.ofSeconds(seconds)});
            }
        }
        return cells.toArray(Object[][]::new);
    }

    private void begin(Disturbance disturbance) {
        switch (disturbance) {
            case STANDS_STILL -> mOutOfStep.process().pause();
            case STORE_SILENT ->
                    mStoreProxy.setFaults(
                            new ConnectionFaults(
                                    Faults.blackHoleAfter(0), Faults.blackHoleAfter(0)));
            default -> {
                mStoreProxy.setFaults(
                        new ConnectionFaults(Faults.resetAfter(0), Faults.resetAfter(0)));
                mStoreProxy.closeConnections();
            }
        }
    }

    private void end(Disturbance disturbance) {
        if (disturbance == Disturbance.STANDS_STILL) {
            mOutOfStep.process().resume();
        }
        mStoreProxy.setFaults(ConnectionFaults.NONE);
        mStoreProxy.closeConnections();
    }

    // Guards against a stream of two versions at an entry that has not read of a restart.
    @Test(dataProvider = "disturbances")
    public void noStreamIsJoinedFromTwoVersions(Disturbance disturbance, Duration length)
            throws Exception {
        boolean standsStill = disturbance == Disturbance.STANDS_STILL;
        startGateways(standsStill);
        List<Stream> begun = new ArrayList<>(beginStreams("v1", mInTouch));
        request("/once/whole", "before");
        String preferred = mEngines.lastEngine();
        begin(disturbance);
        long begunAt = System.nanoTime();
        restart(preferred, "v2");
        if (standsStill) {
            mInTouch.awaitLogLine("\"id\":\"" + preferred + "\"", "\"version\":\"v2\"");
            begun.addAll(beginStreams("v2", mInTouch));
        }
        LockSupport.parkNanos(begunAt + length.toNanos() - System.nanoTime());
        List<Future<Set<String>>> joined = new ArrayList<>();
        for (Stream stream : begun) {
            joined.add(mThreads.submit(() -> takeUp(mOutOfStep, stream)));
        }
        for (int i = 0; i < STREAMS; i++) {
            String id = "whole-" + i;
            joined.add(mThreads.submit(() -> request("/draft/begin-2", id).versions()));
        }
        List<Future<Received>> late = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            String id = "late-" + i;
            late.add(mThreads.submit(() -> request("/once/every-2", id)));
        }
        if (!standsStill) {
            for (Future<Set<String>> stream : joined) {
                stream.get();
            }
        }
        end(disturbance);
        for (int i = 0; i < STREAMS; i++) {
            Stream stream = new Stream("late-" + i, late.get(i).get());
            joined.add(mThreads.submit(() -> takeUp(mInTouch, stream)));
        }
        List<Set<String>> mixed = new ArrayList<>();
        for (Future<Set<String>> versions : joined) {
            if (versions.get().size() > 1) {
                mixed.add(versions.get());
            }
        }
        assertEquals(mixed, List.of(), "of " + joined.size() + " streams");
        begun.forEach(this::awaitServedAgain);
    }

    /** A stream that its caller may take up. */
    private record Stream(String id, Received begun) {}

    private List<Stream> beginStreams(String version, TestGateway gateway) throws Exception {
        List<Stream> begun = new ArrayList<>();
        for (int i = 0; begun.size() < STREAMS; i++) {
            assertTrue(i < 20 * STREAMS, "no streams begin at " + version);
            String id = version + "-" + i;
            Received received = mCaller.request(gateway, "/once/every-2", id);
            if (received.versions().equals(Set.of(version))) {
                begun.add(new Stream(id, received));
            }
        }
        return begun;
    }

    private void restart(String id, String version) throws Exception {
        mEngines.crash(id);
        mEngines.runAgain(id, version);
        mEngines.announce(id, version);
    }

    private Received request(String path, String id) throws Exception {
        return mCaller.request(mOutOfStep, path, id);
    }

    /** Takes a stream up and returns all versions that its caller has received. */
    private Set<String> takeUp(TestGateway gateway, Stream stream) throws Exception {
        Set<String> versions = new LinkedHashSet<>(stream.begun().versions());
        if (versions.isEmpty()) {
            return versions;
        }
        Received later =
                mCaller.takeUp(
                        gateway,
                        "/once/whole",
                        "later-" + stream.id(),
                        stream.id(),
                        stream.begun());
        if (later.status() == UNAVAILABLE) {
            assertTrue(later.body().contains("\"ran\":\"no\""), later.body());
        }
        versions.addAll(later.versions());
        return versions;
    }

    /** Checks that a stream goes on there once the entry has caught up. */
    private void awaitServedAgain(Stream stream) {
        Await.until("the stream goes on", TestGateway.TIMEOUT, () -> isWhole(stream));
    }

    private boolean isWhole(Stream stream) {
        try {
            Received later =
                    mCaller.takeUp(
                            mOutOfStep,
                            "/once/whole",
                            "again-" + stream.id(),
                            stream.id(),
                            stream.begun());
            return later.status() == 200
                    && later.complete()
                    && later.versions().equals(stream.begun().versions());
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
