package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.boragethread.standins.HttpCalls;
import org.boragethread.standins.harness.Await;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.StoreStandIn;
import org.boragethread.standins.system.StreamCaller.Received;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests three gateway processes that share engines, of which the oldest one places the requests of
 * all, while it is killed or stands still. A request may run only once.
 */
public class SharedPlacementTest {

    private static final String SETTINGS = "[scheduling]\nmode = \"shared\"\n";

    private static final String CONFIG =
            """
            {"version":1,"routes":[
            {"name":"once","hostname":"127.0.0.1","path_prefix":"/once/","kind":"streaming",
             "timeout_ms":10000,"target_latency_ms":1500,"gap_aim_ms":400,"sticky":true,
             "service":"engines","max_attempts":1}],
            "services":[{"name":"engines","health_path":"/health","max_conns":100,
             "engine":{"slots":16,"kv_capacity":100000}}],
            "tenants":[{"name":"team-1","api_keys":["key-1"]}]}""";

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int CALLERS_PER_GATEWAY = 4;

    /** Requests that must end in each part of a test. */
    private static final int ENOUGH = 80;

    /**
     * Requests of each entry that another one must place before a test. On a busy machine some
     * acknowledgements are late, and the coordinator is avoided for a while.
     */
    private static final int SHARED = 20;

    /** Time for which an engine processes one prompt; others wait meanwhile. */
    private static final long PROMPT_MILLIS = 10;

    private final StreamCaller mCaller = new StreamCaller();
    private final Map<String, Integer> mRuns = new ConcurrentHashMap<>();
    private final Map<String, Received> mResponses = new ConcurrentHashMap<>();
    private final Queue<Throwable> mFailures = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mServed = new AtomicInteger();
    private final List<ScriptedUpstream> mEngines = new ArrayList<>();
    private final List<CompletableFuture<Void>> mCallers = new ArrayList<>();
    private ExecutorService mThreads;
    private StoreStandIn mStore;
    private ProcessHarness mHarness;
    private TestGateway mOldest;
    private TestGateway mMiddle;
    private TestGateway mYoungest;
    private volatile boolean mCalling;

    @BeforeMethod
    public void startAll() throws Exception {
        mRuns.clear();
        mResponses.clear();
        mFailures.clear();
        mServed.set(0);
        mEngines.clear();
        mCallers.clear();
        mThreads = Executors.newCachedThreadPool();
        mStore = new StoreStandIn();
        mStore.start();
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "config", CONFIG);
        for (String id : List.of("engine-1", "engine-2", "engine-3")) {
            ScriptedUpstream engine = new ScriptedUpstream(0, engine());
            mEngines.add(engine);
            mStore.put(StoreStandIn.UPSTREAM_TOPIC, id, engine.announcement("engines"));
        }
        mHarness = new ProcessHarness();
        mOldest = TestGateway.start(mHarness, "oldest", mStore.address(), SETTINGS);
        mMiddle = TestGateway.start(mHarness, "middle", mStore.address(), SETTINGS);
        mYoungest = TestGateway.start(mHarness, "youngest", mStore.address(), SETTINGS);
        Await.until("all entries know three", TestGateway.TIMEOUT, this::knowMembers);
        mCalling = true;
        for (int i = 0; i < CALLERS_PER_GATEWAY; i++) {
            startCaller(mMiddle, "middle-" + i);
            startCaller(mYoungest, "youngest-" + i);
        }
        Await.until(
                "the oldest entry places requests of the others",
                TestGateway.TIMEOUT,
                () -> placements(mMiddle) >= SHARED && placements(mYoungest) >= SHARED);
    }

    private boolean knowMembers() {
        return List.of(mMiddle, mYoungest).stream()
                .allMatch(
                        gateway ->
                                gateway.process().lines().stream()
                                        .anyMatch(line -> line.split("@").length == 4));
    }

    @AfterMethod(alwaysRun = true)
    public void stopAll() throws IOException {
        mCalling = false;
        mThreads.shutdownNow();
        mHarness.close();
        for (ScriptedUpstream engine : mEngines) {
            engine.close();
        }
        mStore.close();
    }

    @Test
    public void requestsAreServedOnceWhenTheCoordinatorIsKilled() throws Exception {
        mOldest.process().kill();
        awaitServed("after the kill");
        Await.until(
                "another entry places the requests",
                TestGateway.TIMEOUT,
                () ->
                        mYoungest.hasLogLine(
                                "\"event\":\"placement-coordinator\"", "previous\":\"1"));
        awaitServed("with another coordinator");
        stopCallers();
        checkResponses();
    }

    @Test
    public void requestsAreServedOnceWhileTheCoordinatorStandsStill() throws Exception {
        mOldest.process().pause();
        awaitServed("while the coordinator stands still");
        mOldest.process().resume();
        awaitServed("after it goes on");
        stopCallers();
        checkResponses();
        mYoungest.awaitLogLine("\"event\":\"placement\"", "\"outcome\":\"fallback\"");
    }

    /** Returns an engine that processes one prompt at a time and streams the ID of the request. */
    private ScriptedUpstream.Handler engine() {
        Object prompt = new Object();
        return (request, connection) -> {
            mRuns.merge(request.id(), 1, Integer::sum);
            synchronized (prompt) {
                Thread.sleep(PROMPT_MILLIS);
            }
            respond(request.id(), connection);
        };
    }

    private static void respond(String id, Socket connection) throws IOException {
        String body = events(id);
        String head =
                """
                HTTP/1.1 200 OK\r
                X-Boragethread-Request-Id: %s\r
                X-Boragethread-Response-Seal: seal\r
                Content-Type: text/event-stream\r
                Content-Length: %d\r
                \r
                """
                        .formatted(id, body.length());
        connection.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
    }

    private static String events(String id) {
        return "id: 0\ndata: %s\n\nid: 1\ndata: %s\n\n".formatted(id, id);
    }

    private void startCaller(TestGateway gateway, String name) {
        mCallers.add(CompletableFuture.runAsync(() -> call(gateway, name), mThreads));
    }

    private void call(TestGateway gateway, String name) {
        for (int i = 0; mCalling; i++) {
            String id = name + "-" + i;
            try {
                Received received =
                        mCaller.request(
                                gateway,
                                "/once/x",
                                id,
                                "X-Boragethread-Prompt-Prefix",
                                "a%d:200,b:50".formatted(i % 3));
                mResponses.put(id, received);
                if (received.status() == OK) {
                    mServed.incrementAndGet();
                }
            } catch (Exception e) {
                mFailures.add(e);
            }
        }
    }

    private void awaitServed(String when) {
        int target = mServed.get() + ENOUGH;
        Await.until(
                "requests are served " + when, TestGateway.TIMEOUT, () -> mServed.get() >= target);
    }

    private void stopCallers() throws Exception {
        mCalling = false;
        for (CompletableFuture<Void> caller : mCallers) {
            caller.get();
        }
    }

    /** Checks that each request ran once and has its own response, or was refused and never ran. */
    private void checkResponses() {
        assertEquals(List.copyOf(mFailures), List.of());
        List<String> wrong = new ArrayList<>();
        mResponses.forEach(
                (id, received) -> {
                    int runs = mRuns.getOrDefault(id, 0);
                    boolean served =
                            received.status() == OK
                                    && received.complete()
                                    && received.body().strip().equals(events(id).strip())
                                    && runs == 1;
                    boolean refused = received.status() == UNAVAILABLE && runs == 0;
                    if (!served && !refused) {
                        wrong.add("%s: %d runs, %s".formatted(id, runs, received));
                    }
                });
        assertEquals(wrong, List.of(), wrong.toString());
        int refused = mResponses.size() - mServed.get();
        assertTrue(
                refused * 20 <= mResponses.size(),
                "%d of %d refused".formatted(refused, mResponses.size()));
    }

    /** Returns the number of requests of an entry that another one has placed. */
    private static double placements(TestGateway gateway) {
        try {
            return new HttpCalls("127.0.0.1:" + gateway.readinessPort())
                    .get("/metrics")
                    .body()
                    .lines()
                    .filter(line -> line.startsWith("boragethread_gateway_placements_total"))
                    .filter(line -> line.contains("\"coordinator\""))
                    .mapToDouble(line -> Double.parseDouble(line.substring(line.indexOf(' '))))
                    .sum();
        } catch (IOException e) {
            return 0;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
