package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.LockSupport;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.StoreStandIn;
import org.boragethread.standins.system.StreamCaller.Received;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests streams that go on while engines of several software versions serve side by side. */
public class SoftwareVersionTest {

    private static final int STREAMS = 12;
    private static final Duration REQUEST_INTERVAL = Duration.ofMillis(20);

    /**
     * Less than the time after which an upstream that was not announced again counts as the same.
     */
    private static final Duration UNANNOUNCED_TIME = Duration.ofMillis(1500);

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int EVENTS = VersionedEngines.EVENTS;

    private static final String CONFIG =
            """
            {"version":1,"routes":[
            {"name":"draft","hostname":"127.0.0.1","path_prefix":"/draft/","kind":"streaming",
             "can_resume":true,"timeout_ms":5000,"target_latency_ms":400,"gap_aim_ms":400,
             "service":"engines","max_attempts":3},
            {"name":"once","hostname":"127.0.0.1","path_prefix":"/once/","kind":"streaming",
             "can_resume":true,"timeout_ms":5000,"target_latency_ms":400,"gap_aim_ms":400,
             "service":"engines","max_attempts":1}],
            "services":[{"name":"engines","health_path":"/health","max_conns":100}],
            "tenants":[{"name":"team-1","api_keys":["key-1"]},
             {"name":"team-2","api_keys":["key-2"]}]}""";

    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final StreamCaller mCaller = new StreamCaller();
    private final Map<String, TestGateway> mGateways = new HashMap<>();
    private StoreStandIn mStore;
    private VersionedEngines mEngines;
    private ProcessHarness mHarness;

    @BeforeMethod
    public void startAll() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "config", CONFIG);
        mEngines = new VersionedEngines(mStore);
        mHarness = new ProcessHarness();
        mGateways.clear();
    }

    @AfterClass(alwaysRun = true)
    public void stopThreads() {
        mThreads.shutdownNow();
    }

    private void startGateways(String... names) throws Exception {
        for (String name : names) {
            TestGateway gateway = TestGateway.start(mHarness, name, mStore.address());
            mGateways.put(name, gateway);
            // A gateway that has just started may make one retry for five first calls.
            for (int i = 0; i < 5 * STREAMS; i++) {
                mCaller.request(gateway, "/draft/whole", name + "-earlier-" + i);
            }
        }
    }

    @AfterMethod(alwaysRun = true)
    public void stopAll() throws Exception {
        mHarness.close();
        mEngines.close();
        mStore.close();
    }

    // Guards against a response that goes on at an engine of another software version.
    @Test
    public void brokenStreamGoesOnOnlyAtTheVersionThatBeganIt() throws Exception {
        mEngines.start("old-1", "v1").start("old-2", "v1").start("new-1", "v2");
        startGateways("first");
        int wholeOld = 0;
        for (int i = 0; i < STREAMS; i++) {
            Received received =
                    mCaller.request(mGateways.get("first"), "/draft/begin-2", "id-" + i);
            assertEquals(received.versions().size(), 1, received.body());
            boolean old = received.versions().contains("v1");
            assertEquals(received.complete(), old, received.body());
            wholeOld += old ? 1 : 0;
        }
        assertTrue(wholeOld > 0, "no stream began at the version with two engines");
    }

    // Guards against a stream that an upstream began after it had started again with other
    // software.
    @Test
    public void streamOfAnUpstreamThatRestartedUnannouncedDoesNotGoOn() throws Exception {
        mEngines.start("old-1", "v1").start("old-2", "v1");
        startGateways("first");
        TestGateway gateway = mGateways.get("first");
        String preferred = mEngines.lastEngine();
        mEngines.crash(preferred);
        mCaller.request(gateway, "/draft/whole", "while-down");
        mEngines.runAgain(preferred, "v2");
        CompletableFuture<Void> announced =
                mEngines.announceLater(preferred, "v2", UNANNOUNCED_TIME);
        List<CompletableFuture<Received>> streams = new ArrayList<>();
        for (int i = 0; !announced.isDone(); i++) {
            String id = "id-" + i;
            streams.add(CompletableFuture.supplyAsync(() -> begin(gateway, id), mThreads));
            LockSupport.parkNanos(REQUEST_INTERVAL.toNanos());
        }
        announced.get();
        int begunAtNew = 0;
        for (CompletableFuture<Received> stream : streams) {
            Received received = stream.get();
            assertEquals(received.versions().size(), 1, received.body());
            begunAtNew += received.versions().contains("v2") ? 1 : 0;
        }
        assertTrue(begunAtNew > 0, "no stream began at the restarted upstream");
    }

    private Received begin(TestGateway gateway, String id) {
        try {
            return mCaller.request(gateway, "/draft/begin-2", id);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    // Guards against a caller that tries again and again what no upstream can do any more.
    @Test
    public void streamOfAVersionThatIsGoneIsRefusedAtOnceAsNotRun() throws Exception {
        mEngines.start("old-1", "v1");
        startGateways("first", "second");
        mGateways.get("first").awaitSettledUpstreams();
        Received begun = mCaller.request(mGateways.get("first"), "/once/every-2", "id-1");
        mEngines.start("new-1", "v2").stop("old-1");
        for (TestGateway gateway : mGateways.values()) {
            gateway.awaitLogLine("\"outcome\":\"gone\"");
            gateway.awaitLogLine("\"version\":\"v2\"");
            Received refused = mCaller.takeUp(gateway, "/once/whole", "later", "id-1", begun);
            assertEquals(refused.status(), UNAVAILABLE, refused.body());
            assertTrue(refused.body().contains("stream-version-unavailable"), refused.body());
            assertTrue(refused.body().contains("\"ran\":\"no\""), refused.body());
            Received anew = mCaller.request(gateway, "/once/whole", "anew");
            assertTrue(anew.complete(), anew.body());
        }
        assertFalse(mEngines.receivedIds().contains("later"));
    }

    @DataProvider
    public Object[][] entries() {
        return new Object[][] {{"same"}, {"other"}, {"other, first killed"}, {"started later"}};
    }

    // Guards against a caller's later attempt that goes on at another software version.
    @Test(dataProvider = "entries")
    public void callersAttemptGoesOnOnlyAtTheVersionThatBeganTheStream(String entry)
            throws Exception {
        mEngines.start("old-1", "v1").start("old-2", "v1");
        mEngines.start("new-1", "v2").start("new-2", "v2");
        startGateways("first", "second", "third");
        Map<String, Received> begun = new HashMap<>();
        for (int i = 0; i < STREAMS; i++) {
            begun.put(
                    "id-" + i, mCaller.request(mGateways.get("first"), "/once/every-2", "id-" + i));
        }
        TestGateway next = nextEntry(entry);
        int goneOn = 0;
        for (Map.Entry<String, Received> stream : begun.entrySet()) {
            goneOn += takeUpTwice(next, stream.getKey(), stream.getValue()) ? 1 : 0;
        }
        assertTrue(goneOn >= STREAMS * 3 / 4, goneOn + " of " + STREAMS + " streams went on");
    }

    private TestGateway nextEntry(String entry) throws Exception {
        switch (entry) {
            case "same":
                return mGateways.get("first");
            case "started later":
                startGateways("fourth");
                return mGateways.get("fourth");
            case "other, first killed":
                mGateways.get("first").process().kill();
                return mGateways.get("second");
            default:
                return mGateways.get("second");
        }
    }

    /**
     * Returns whether the stream was taken up to its end, by two attempts with IDs of their own.
     */
    private boolean takeUpTwice(TestGateway gateway, String firstId, Received begun)
            throws Exception {
        Received received = begun;
        Set<String> versions = new LinkedHashSet<>(begun.versions());
        for (int attempt = 2; attempt <= 3; attempt++) {
            received =
                    mCaller.takeUp(
                            gateway, "/once/every-2", firstId + "-" + attempt, firstId, received);
            if (received.status() != OK) {
                assertEquals(received.status(), UNAVAILABLE, received.body());
                return false;
            }
            versions.addAll(received.versions());
            assertEquals(versions.size(), 1, firstId + " has events of " + versions);
        }
        assertEquals(received.lastEventId(), Integer.toString(EVENTS));
        return received.complete();
    }

    @DataProvider
    public Object[][] unknownStreams() {
        return new Object[][] {
            {"no ID", List.of("Last-Event-Id", "2")},
            {"an ID that nobody knows", List.of("Last-Event-Id", "2", "Resumes", "nobody")},
            {"an empty ID", List.of("Last-Event-Id", "2", "Resumes", "")},
            {
                "the ID of another team's stream",
                List.of("Last-Event-Id", "2", "Resumes", "id-1", "Authorization", "Token key-2")
            },
        };
    }

    // Guards against a stream whose version is unknown and that goes on at any version.
    @Test(dataProvider = "unknownStreams")
    public void streamOfUnknownVersionIsRefusedAtOnceAsNotRun(String name, List<String> headers)
            throws Exception {
        mEngines.start("old-1", "v1").start("new-1", "v2");
        startGateways("first", "second");
        mCaller.request(mGateways.get("first"), "/once/every-2", "id-1");
        for (TestGateway gateway : mGateways.values()) {
            Received received =
                    mCaller.request(
                            gateway, "/once/whole", "later", headers.toArray(String[]::new));
            assertEquals(received.status(), UNAVAILABLE, name + ": " + received.body());
            assertTrue(received.body().contains("\"ran\":\"no\""), received.body());
        }
        assertFalse(mEngines.receivedIds().contains("later"), name);
    }
}
