package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.StoreStandIn;
import org.boragethread.standins.system.SteppedUpstream.Call;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests requests in progress while the configuration or the settings change. */
public class ReconfiguredRequestTest {

    private static final String ROUTE =
            """
            {"name":"%1$s","hostname":"127.0.0.1","path_prefix":"/%1$s/","kind":"%2$s",
             "can_resume":%3$s,"timeout_ms":9000,"target_latency_ms":%4$d,"gap_aim_ms":%4$d,
             "service":"%5$s","max_attempts":2}""";

    private static final String SERVICE = "{\"name\":\"%s\",\"max_conns\":100}";

    /** No upstream counts as silent before the end of a test. */
    private static final int PATIENT = 4000;

    private static final int IMPATIENT = 300;

    private static final String SHARES = "[shares]\nretry_ratio = 1\nretry_slack = 0";

    private static final String FIRST = "id: 0\ndata: one\n\n";
    private static final String REST = "id: 1\ndata: two\n\nid: 2\ndata: three\n\n";

    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final StreamCaller mCaller = new StreamCaller();
    private SteppedCalls mCalls;
    private StoreStandIn mStore;
    private ProcessHarness mHarness;
    private TestGateway mGateway;

    /** What a new configuration does to the route of a request in progress. */
    private enum Change {
        MOVES_ROUTE,
        REMOVES_ROUTE,
        REMOVES_ROUTE_AND_GROUP,
        CHANGES_KIND,
        REMOVES_KEY
    }

    @BeforeMethod
    public void start() throws Exception {
        mCalls = new SteppedCalls();
        mStore = new StoreStandIn();
        mStore.start();
        for (String group : new String[] {"engines", "engines", "others"}) {
            SteppedUpstream upstream = mCalls.addUpstream();
            String id = group + "-" + upstream.hashCode();
            mStore.put(StoreStandIn.UPSTREAM_TOPIC, id, upstream.announcement(group, "v1"));
        }
        mHarness = new ProcessHarness();
    }

    private void startGateway(int targetMillis) throws Exception {
        mStore.put(
                StoreStandIn.OPERATOR_TOPIC,
                "config",
                config(1, routes("streaming", targetMillis, "engines"), "engines", "key-1"));
        mGateway = TestGateway.start(mHarness, "gateway-1", mStore.address(), SHARES);
    }

    private static List<String> routes(String streamKind, int targetMillis, String group) {
        boolean streaming = streamKind.equals("streaming");
        return List.of(
                ROUTE.formatted("stream", streamKind, streaming, targetMillis, group),
                ROUTE.formatted("lookup", "safe", false, targetMillis, group));
    }

    private static String config(int version, List<String> routes, String group, String key) {
        return "{\"version\":%d,\"routes\":[%s],\"services\":[%s],\"tenants\":[%s]}"
                .formatted(
                        version,
                        String.join(",", routes),
                        SERVICE.formatted(group) + "," + SERVICE.formatted("others"),
                        "{\"name\":\"team-1\",\"api_keys\":[\"%s\"]}".formatted(key));
    }

    private static String changed(Change change) {
        List<String> same = routes("streaming", PATIENT, "engines");
        List<String> kept = List.of(ROUTE.formatted("kept", "safe", false, PATIENT, "others"));
        return switch (change) {
            case MOVES_ROUTE ->
                    config(2, routes("streaming", PATIENT, "others"), "engines", "key-1");
            case REMOVES_ROUTE -> config(2, kept, "engines", "key-1");
            case REMOVES_ROUTE_AND_GROUP -> config(2, kept, "rest", "key-1");
            case CHANGES_KIND ->
                    config(2, routes("unsafe", PATIENT, "engines"), "engines", "key-1");
            case REMOVES_KEY -> config(2, same, "engines", "key-2");
        };
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        mHarness.close();
        mStore.close();
        mCalls.close();
    }

    private CompletableFuture<StreamCaller.Received> send(String path, String id) {
        return CompletableFuture.supplyAsync(() -> receive(path, id), mThreads);
    }

    private StreamCaller.Received receive(String path, String id) {
        try {
            return mCaller.request(mGateway, path, id);
        } catch (Exception e) {
            return new StreamCaller.Received(0, e.toString(), false);
        }
    }

    private static void assertWhole(CompletableFuture<StreamCaller.Received> future, String body)
            throws Exception {
        StreamCaller.Received received = future.get();
        assertEquals(received.status(), 200, received.body());
        assertEquals(received.body().strip(), body.strip());
        assertTrue(received.complete(), "the response was cut off");
    }

    @DataProvider
    private static Object[][] changes() {
        List<Object[]> cases = new ArrayList<>();
        for (Change change : Change.values()) {
            cases.add(new Object[] {change});
        }
        return cases.toArray(new Object[0][]);
    }

    private void apply(Change change) {
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "config", changed(change));
        mGateway.awaitLogLine("\"event\":\"config\"", "\"version\":\"2\"");
    }

    // Guards against a request that loses its route between two attempts.
    @Test(dataProvider = "changes")
    public void secondAttemptFollowsTheRouteThatAdmittedTheRequest(Change change) throws Exception {
        startGateway(PATIENT);
        CompletableFuture<StreamCaller.Received> lookup = send("/lookup/x", "lookup");
        CompletableFuture<StreamCaller.Received> stream = send("/stream/x", "stream");
        Call firstLookup = mCalls.await("lookup", 0);
        Call firstStream = mCalls.await("stream", 0);
        apply(change);
        firstLookup.reset();
        firstStream.reset();
        Call secondLookup = mCalls.await("lookup", 1);
        secondLookup.write(SteppedCalls.head("200 OK", "lookup", 2) + "ok");
        secondLookup.end();
        Call secondStream = mCalls.await("stream", 1);
        secondStream.write(SteppedCalls.streamHead("stream") + FIRST + REST);
        secondStream.end();
        assertWhole(lookup, "ok");
        assertWhole(stream, FIRST + REST);
    }

    // Guards against a stream that loses its route when its upstream breaks off.
    @Test(dataProvider = "changes")
    public void streamGoesOnAtTheRouteThatAdmittedIt(Change change) throws Exception {
        startGateway(PATIENT);
        CompletableFuture<StreamCaller.Received> stream = send("/stream/x", "stream");
        Call first = mCalls.await("stream", 0);
        first.write(SteppedCalls.streamHead("stream") + FIRST + "id: 1\nda");
        apply(change);
        first.end();
        Call second = mCalls.await("stream", 1);
        assertEquals(second.headers().get("last-event-id"), "0");
        second.write(SteppedCalls.streamHead("stream") + REST);
        second.end();
        assertWhole(stream, FIRST + REST);
    }

    @DataProvider
    private static Object[][] signals() {
        return new Object[][] {{true, true}, {true, false}, {false, true}, {false, false}};
    }

    // Guards against a response that ends with SIGHUP, alone or together with SIGTERM, though its
    // upstream goes on.
    @Test(dataProvider = "signals")
    public void signalsDoNotEndAResponse(boolean begun, boolean stopping) throws Exception {
        startGateway(IMPATIENT);
        CompletableFuture<StreamCaller.Received> stream = send("/stream/x", "stream");
        Call first = mCalls.await("stream", 0);
        String head = SteppedCalls.streamHead("stream") + FIRST;
        if (begun) {
            first.write(head);
        }
        mGateway.process().hangUp();
        if (stopping) {
            mGateway.process().terminate();
            mGateway.process().hangUp();
            mGateway.awaitLogLine("\"event\":\"stop\"", "begun");
        } else {
            mGateway.awaitLogLine("\"event\":\"reload\"", "\"outcome\":\"unchanged\"");
        }
        mGateway.awaitLogLine("\"event\":\"stalled\"", "\"stream\"");
        mGateway.process().hangUp();
        first.write(begun ? REST : head + REST);
        first.end();
        assertWhole(stream, FIRST + REST);
        if (stopping) {
            assertEquals(mGateway.process().awaitExit(TestGateway.TIMEOUT), 0);
        }
    }
}
