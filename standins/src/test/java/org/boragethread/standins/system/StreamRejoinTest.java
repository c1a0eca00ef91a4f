package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.StoreStandIn;
import org.boragethread.standins.system.StreamCaller.Received;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests streams that callers take up after their entries were killed. */
public class StreamRejoinTest {

    private static final int STREAMS = 6;
    private static final int TRIES = 3;
    private static final int UNAVAILABLE = 503;

    /** Entries ask each other for at most 200 ms; the rest is the machine's. */
    private static final Duration IMMEDIATE = Duration.ofMillis(1000);

    /** Less than the time in which an upstream that has started again announces it. */
    private static final Duration UNANNOUNCED_TIME = Duration.ofMillis(1000);

    /** An entry that has just started may make one retry for five first calls. */
    private static final int CALLS_FOR_A_RETRY = 5;

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
            "tenants":[{"name":"team-1","api_keys":["key-1"]}]}""";

    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final StreamCaller mCaller = new StreamCaller();
    private final Map<String, TestGateway> mGateways = new LinkedHashMap<>();
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

    private void startGateways(List<String> names) throws Exception {
        for (String name : names) {
            mGateways.put(name, TestGateway.start(mHarness, name, mStore.address()));
        }
    }

    @AfterMethod(alwaysRun = true)
    public void stopAll() throws Exception {
        mHarness.close();
        mEngines.close();
        mStore.close();
    }

    @AfterClass(alwaysRun = true)
    public void stopThreads() {
        mThreads.shutdownNow();
    }

    /** What became of the engine that began the streams. */
    private enum Engine {
        SERVING,
        LEFT,
        UNDER_ANOTHER_ID,
        RESTARTED_WITH_OTHER_SOFTWARE
    }

    @DataProvider
    public Object[][] killsOfAll() {
        return new Object[][] {
            {true, false, Engine.SERVING},
            {true, true, Engine.LEFT},
            {false, false, Engine.UNDER_ANOTHER_ID},
            {false, true, Engine.RESTARTED_WITH_OTHER_SOFTWARE},
        };
    }

    // Guards against a version that is guessed once no entry knows it any more.
    @Test(dataProvider = "killsOfAll")
    public void streamTakenUpAfterAllEntriesWereKilledIsRefusedAtOnceAsNotRun(
            boolean atOnce, boolean restartedInReverse, Engine engine) throws Exception {
        mEngines.start("old-1", "v1");
        List<String> names = new ArrayList<>(List.of("first", "second"));
        startGateways(names);
        Map<String, Received> begun = new LinkedHashMap<>();
        for (int i = 0; i < STREAMS; i++) {
            TestGateway gateway = mGateways.get(names.get(i % names.size()));
            begun.put("id-" + i, mCaller.request(gateway, "/once/every-2", "id-" + i));
        }
        replace(engine);
        for (String name : names) {
            mGateways.get(name).process().kill();
        }
        if (!atOnce) {
            mHarness.close();
            mHarness = new ProcessHarness();
        }
        if (restartedInReverse) {
            Collections.reverse(names);
        }
        startGateways(names);
        for (TestGateway gateway : mGateways.values()) {
            for (Map.Entry<String, Received> stream : begun.entrySet()) {
                String last = stream.getValue().lastEventId();
                assertRefused(gateway, "Last-Event-Id", last, "Resumes", stream.getKey());
                assertRefused(gateway, "Last-Event-Id", last, "Resumes", "id-of-another");
                assertRefused(gateway, "Last-Event-Id", last);
            }
        }
        assertFalse(mEngines.receivedIds().stream().anyMatch(id -> id.startsWith("later")));
    }

    private void replace(Engine engine) throws Exception {
        switch (engine) {
            case LEFT -> mEngines.start("new-1", "v2").stop("old-1");
            case UNDER_ANOTHER_ID -> mEngines.start("old-2", "v1").stop("old-1");
            case RESTARTED_WITH_OTHER_SOFTWARE -> {
                mEngines.crash("old-1");
                mEngines.runAgain("old-1", "v2");
            }
            default -> mEngines.start("new-1", "v2");
        }
    }

    private void assertRefused(TestGateway gateway, String... headers) throws Exception {
        for (int attempt = 1; attempt <= TRIES; attempt++) {
            long startedAt = System.nanoTime();
            Received refused = mCaller.request(gateway, "/once/whole", "later-" + attempt, headers);
            Duration time = Duration.ofNanos(System.nanoTime() - startedAt);
            assertEquals(refused.status(), UNAVAILABLE, refused.body());
            assertTrue(refused.body().contains("stream-version-unknown"), refused.body());
            assertTrue(refused.body().contains("\"ran\":\"no\""), refused.body());
            assertTrue(time.compareTo(IMMEDIATE) < 0, "refused after " + time);
        }
    }

    // Guards against an entry that has just started and trusts the announcement of an earlier run.
    @Test
    public void streamOfAnUpstreamThatRestartedWithTheEntriesDoesNotGoOn() throws Exception {
        mEngines.start("old-1", "v1").start("old-2", "v1");
        startGateways(List.of("first"));
        mCaller.request(mGateways.get("first"), "/draft/whole", "before");
        String preferred = mEngines.lastEngine();
        mGateways.get("first").process().kill();
        mEngines.crash(preferred);
        mEngines.runAgain(preferred, "v2");
        startGateways(List.of("first"));
        TestGateway gateway = mGateways.get("first");
        CompletableFuture<Void> announced =
                mEngines.announceLater(preferred, "v2", UNANNOUNCED_TIME);
        List<CompletableFuture<Received>> streams = new ArrayList<>();
        for (int i = 0; !announced.isDone(); i++) {
            for (int call = 0; call < CALLS_FOR_A_RETRY; call++) {
                mCaller.request(gateway, "/draft/whole", "whole-" + i + "-" + call);
            }
            String id = "id-" + i;
            streams.add(CompletableFuture.supplyAsync(() -> begin(gateway, id), mThreads));
        }
        announced.get();
        int begunAtNew = 0;
        int mixed = 0;
        for (CompletableFuture<Received> stream : streams) {
            Received received = stream.get();
            begunAtNew += received.versions().contains("v2") ? 1 : 0;
            mixed += received.versions().size() > 1 ? 1 : 0;
        }
        assertTrue(begunAtNew > 0, "no stream began at the restarted upstream");
        assertEquals(mixed, 0, "of " + begunAtNew + " streams begun at the restarted upstream");
    }

    private Received begin(TestGateway gateway, String id) {
        try {
            return mCaller.request(gateway, "/draft/begin-2", id);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    // Guards against a later attempt that an entry which has just started sends to an unannounced
    // run.
    @Test
    public void streamTakenUpWhileAnUpstreamRestartsWithTheEntryIsNotMixed() throws Exception {
        mEngines.start("old-1", "v1").start("old-2", "v1");
        startGateways(List.of("first", "second"));
        mCaller.request(mGateways.get("first"), "/once/whole", "before");
        String preferred = mEngines.lastEngine();
        Received begun = mCaller.request(mGateways.get("second"), "/once/every-2", "id-1");
        mCaller.takeUp(mGateways.get("second"), "/once/every-2", "id-2", "id-1", begun);
        mGateways.get("first").process().kill();
        mEngines.crash(preferred);
        mEngines.runAgain(preferred, "v2");
        startGateways(List.of("first"));
        TestGateway gateway = mGateways.get("first");
        CompletableFuture<Received> later =
                CompletableFuture.supplyAsync(() -> takeUp(gateway, begun));
        gateway.awaitLogLine("\"event\":\"taken-up\"");
        mEngines.announce(preferred, "v2");
        Received received = later.get();
        assertEquals(received.versions(), Set.of("v1"), received.body());
        assertTrue(received.complete(), received.body());
    }

    // Guards against a stream of an entry that has just started which others take for unknown.
    @Test
    public void streamBegunAtAnEntryThatHasJustStartedIsTakenUpAtAnother() throws Exception {
        mEngines.start("old-1", "v1").start("new-1", "v2");
        startGateways(List.of("first", "second"));
        Received begun = mCaller.request(mGateways.get("second"), "/once/every-2", "id-1");
        assertFalse(mGateways.get("second").hasSettledUpstreams());
        Received later =
                mCaller.takeUp(mGateways.get("first"), "/once/whole", "id-2", "id-1", begun);
        assertEquals(later.versions(), begun.versions(), later.body());
        assertTrue(later.complete(), later.body());
    }

    // Guards against an upstream that left before its announcement could be confirmed.
    @Test
    public void streamOfAnUpstreamThatLeftWhileItsEntryStartedIsRefusedAsNotRun() throws Exception {
        mEngines.start("old-1", "v1");
        startGateways(List.of("first", "second"));
        Received begun = mCaller.request(mGateways.get("second"), "/once/every-2", "id-1");
        assertFalse(mGateways.get("second").hasSettledUpstreams());
        replaceEngine("old-1", "old-2", "v1");
        for (TestGateway gateway : mGateways.values()) {
            Received later = mCaller.takeUp(gateway, "/once/whole", "later", "id-1", begun);
            assertEquals(later.status(), UNAVAILABLE, later.body());
            assertTrue(later.body().contains("stream-version-unknown"), later.body());
            assertTrue(later.body().contains("\"ran\":\"no\""), later.body());
        }
        assertFalse(mEngines.receivedIds().contains("later"));
    }

    private Received takeUp(TestGateway gateway, Received begun) {
        try {
            return mCaller.takeUp(gateway, "/once/whole", "id-3", "id-1", begun);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @DataProvider
    public Object[][] requestsBegunAnew() {
        return new Object[][] {{List.of()}, {List.of("Last-Event-Id", "")}};
    }

    // Guards against a stream begun anew that goes on at the version of the stream it replaces.
    @Test(dataProvider = "requestsBegunAnew")
    public void streamBegunAnewDoesNotGoOnAsTheOneItNames(List<String> lastEvent) throws Exception {
        mEngines.start("old-1", "v1");
        startGateways(List.of("first", "second"));
        mCaller.request(mGateways.get("first"), "/once/every-2", "id-1");
        replaceEngine("old-1", "new-1", "v2");
        List<String> headers = new ArrayList<>(lastEvent);
        headers.addAll(List.of("Resumes", "id-1"));
        Received anew =
                mCaller.request(
                        mGateways.get("second"),
                        "/once/every-2",
                        "id-2",
                        headers.toArray(String[]::new));
        replaceEngine("none", "old-2", "v1");
        assertNotMixed(anew, "id-1", "body");
    }

    // Guards against a stream that is lost because its first attempt names itself.
    @Test
    public void streamWhoseFirstAttemptNamesItselfGoesOn() throws Exception {
        mEngines.start("old-1", "v1");
        startGateways(List.of("first"));
        TestGateway gateway = mGateways.get("first");
        Received begun = mCaller.request(gateway, "/once/every-2", "id-1", "Resumes", "id-1");
        Received later = mCaller.takeUp(gateway, "/once/whole", "id-2", "id-1", begun);
        assertTrue(later.complete(), later.body());
    }

    // Guards against a caller that names the stream of another request of its team.
    @Test
    public void streamDoesNotGoOnAsThatOfAnotherRequest() throws Exception {
        mEngines.start("old-1", "v1");
        startGateways(List.of("first", "second"));
        TestGateway gateway = mGateways.get("first");
        mCaller.requestWithBody(gateway, "/once/every-2", "id-1", "first request");
        replaceEngine("old-1", "new-1", "v2");
        Received other =
                mCaller.requestWithBody(gateway, "/once/every-2", "id-2", "second request");
        replaceEngine("none", "old-2", "v1");
        assertNotMixed(other, "id-1", "second request");
    }

    private void replaceEngine(String previous, String next, String version) throws Exception {
        mEngines.start(next, version);
        if (!previous.equals("none")) {
            mEngines.stop(previous);
        }
        for (TestGateway gateway : mGateways.values()) {
            gateway.awaitLogLine("\"id\":\"" + next + "\"");
            if (!previous.equals("none")) {
                gateway.awaitLogLine("\"id\":\"" + previous + "\"", "\"outcome\":\"gone\"");
            }
        }
    }

    private void assertNotMixed(Received begun, String firstId, String body) throws Exception {
        for (TestGateway gateway : mGateways.values()) {
            Received later =
                    mCaller.requestWithBody(
                            gateway,
                            "/once/whole",
                            "later",
                            body,
                            "Resumes",
                            firstId,
                            "Last-Event-Id",
                            begun.lastEventId());
            Set<String> versions = new LinkedHashSet<>(begun.versions());
            versions.addAll(later.versions());
            assertEquals(versions, Set.of("v2"), "events of a caller that names " + firstId);
            assertEquals(later.status(), UNAVAILABLE, later.body());
        }
    }
}
