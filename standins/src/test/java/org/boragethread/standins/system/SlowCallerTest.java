package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.boragethread.standins.harness.Await;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.StoreStandIn;
import org.boragethread.standins.system.SteppedUpstream.Call;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests a caller that reads its stream more slowly than its upstream writes it. */
public class SlowCallerTest {

    private static final String CONFIG =
            """
            {"version":1,"routes":[
            {"name":"stream","hostname":"127.0.0.1","path_prefix":"/stream/","kind":"streaming",
             "can_resume":true,"timeout_ms":15000,"target_latency_ms":400,"gap_aim_ms":300,
             "service":"engines","max_attempts":2}],
            "services":[{"name":"engines","max_conns":100}],
            "tenants":[{"name":"team-1","api_keys":["key-1"]}]}""";

    private static final String HEAD =
            """
            HTTP/1.1 200 OK\r
            X-Boragethread-Request-Id: %s\r
            X-Boragethread-Response-Seal: seal\r
            Content-Type: text/event-stream\r
            Connection: close\r
            \r
            """;

    private static final String REQUEST =
            """
            POST /stream/x HTTP/1.0\r
            Host: 127.0.0.1\r
            Authorization: Token key-1\r
            X-Boragethread-Request-Id: slow\r
            Content-Length: 0\r
            \r
            """;

    private static final int EVENTS = 400;
    private static final String DATA = "x".repeat(64 << 10);
    private static final int RECEIVE_BUFFER = 8 << 10;

    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final List<Call> mCalls = new CopyOnWriteArrayList<>();
    private StoreStandIn mStore;
    private SteppedUpstream mUpstream;
    private ProcessHarness mHarness;
    private TestGateway mGateway;

    @BeforeClass
    public void start() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        mUpstream = new SteppedUpstream(mCalls::add);
        for (String id : List.of("engine-1", "engine-2")) {
            mStore.put(StoreStandIn.UPSTREAM_TOPIC, id, mUpstream.announcement("engines", "v1"));
        }
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "config", CONFIG);
        mHarness = new ProcessHarness();
        mGateway =
                TestGateway.start(
                        mHarness,
                        "gateway-1",
                        mStore.address(),
                        "[shares]\nretry_ratio = 1\nretry_slack = 0");
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        mHarness.close();
        mStore.close();
        mUpstream.close();
        mThreads.shutdownNow();
    }

    private List<Call> calls(String id) {
        return mCalls.stream().filter(call -> call.id().equals(id)).toList();
    }

    private Call awaitCall(String id) {
        Await.until("a call of " + id, TestGateway.TIMEOUT, () -> !calls(id).isEmpty());
        return calls(id).get(0);
    }

    private static void writeEvents(Call call) {
        call.write(HEAD.formatted(call.id()));
        for (int i = 0; i < EVENTS; i++) {
            call.write("id: %d\ndata: %s\n\n".formatted(i, DATA));
        }
        closeQuietly(call);
    }

    private static void closeQuietly(Call call) {
        try {
            call.end();
        } catch (java.io.IOException e) {
            throw new IllegalStateException(e);
        }
    }

    // Guards against an upstream that is taken for silent while its caller does not read.
    @Test
    public void upstreamOfASlowCallerIsNotTakenForSilent() throws Exception {
        try (Socket caller = new Socket()) {
            caller.setReceiveBufferSize(RECEIVE_BUFFER);
            caller.connect(new InetSocketAddress("127.0.0.1", mGateway.port()));
            caller.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
            Call slow = awaitCall("slow");
            CompletableFuture<Void> written =
                    CompletableFuture.runAsync(() -> writeEvents(slow), mThreads);
            awaitSilenceOfAnotherStream();
            assertFalse(written.isDone(), "the buffers hold the whole stream");
            assertFalse(mGateway.hasLogLine("\"event\":\"stalled\"", "\"slow\""));
            assertEquals(calls("slow").size(), 1);
            String response = readAll(caller.getInputStream());
            assertTrue(response.endsWith("id: %d\ndata: %s\n\n".formatted(EVENTS - 1, DATA)));
        }
    }

    /** Waits until a stream with the same timeout was noticed to be silent twice. */
    private void awaitSilenceOfAnotherStream() throws Exception {
        CompletableFuture<Integer> other =
                CompletableFuture.supplyAsync(() -> post("other"), mThreads);
        Call call = awaitCall("other");
        call.write(HEAD.formatted("other") + "id: 0\ndata: one\n\n");
        Await.until(
                "the silence is noticed twice",
                TestGateway.TIMEOUT,
                () -> mGateway.hasLogLine("\"stalled\"", "\"other\"", "\"attempts\""));
        call.write("id: 1\ndata: two\n\n");
        call.end();
        assertEquals(other.get(), 200);
    }

    private int post(String id) {
        try {
            return mGateway.postWithKey("/stream/x", id).statusCode();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static String readAll(InputStream input) throws Exception {
        return new String(input.readAllBytes(), StandardCharsets.US_ASCII);
    }
}
