package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.BooleanSupplier;
import org.boragethread.standins.harness.Await;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.StoreStandIn;
import org.boragethread.standins.system.SteppedUpstream.Call;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests upstreams that fall silent during a response and go on, or do not. */
public class SilentUpstreamTest {

    private static final String ROUTE =
            """
            {"name":"%1$s","hostname":"127.0.0.1","path_prefix":"/%1$s/","kind":"streaming",
             "can_resume":true,"timeout_ms":8000,"target_latency_ms":400,"gap_aim_ms":300,
             "service":"%1$s","max_attempts":2}""";

    private static final String SERVICE = "{\"name\":\"%s\",\"max_conns\":100}";

    private static final String REQUEST =
            """
            POST /%s/x HTTP/1.1\r
            Host: 127.0.0.1\r
            Authorization: Token key-1\r
            X-Boragethread-Request-Id: %s\r
            Content-Length: 0\r
            \r
            """;

    private static final String HEAD =
            """
            HTTP/1.1 200 OK\r
            X-Boragethread-Request-Id: %s\r
            X-Boragethread-Response-Seal: seal\r
            Content-Type: text/event-stream\r
            Connection: close\r
            \r
            """;

    private static final String REJECTION =
            """
            HTTP/1.1 503 Service Unavailable\r
            X-Boragethread-Request-Id: %s\r
            X-Boragethread-Not-Executed: 1\r
            Content-Length: 0\r
            Connection: close\r
            \r
            """;

    private static final String FAILURE =
            """
            HTTP/1.1 500 Internal Server Error\r
            X-Boragethread-Request-Id: %s\r
            X-Boragethread-Response-Seal: seal\r
            Content-Length: 0\r
            Connection: close\r
            \r
            """;

    private static final String NOT_FOUND = FAILURE.replace("500 Internal Server Error", "404 No");
    private static final String NO_CONTENT = FAILURE.replace("500 Internal Server Error", "204 No");
    private static final String NO_EVENTS =
            HEAD.replace("text/event-stream", "application/json")
                    .replace("Connection:", "Content-Length: 2\r\nConnection:");

    private static final String FIRST = "id: 0\ndata: one\n\n";
    private static final String REST = "id: 1\ndata: two\n\nid: 2\ndata: three\n\n";

    /** Responses that cannot continue a stream. */
    private static final List<String> OTHER_RESPONSES =
            List.of(NOT_FOUND, NO_CONTENT, NO_EVENTS + "{}");

    private static final String WHOLE = (FIRST + REST).strip();

    private static final String NO_RETRIES = "[shares]\nretry_ratio = 0\nretry_slack = 0";
    private static final String ONE_FOR_TWO = "[shares]\nretry_ratio = 0.5\nretry_slack = 0";
    private static final String ONE_FOR_EACH = "[shares]\nretry_ratio = 1\nretry_slack = 0";

    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final List<Call> mCalls = new CopyOnWriteArrayList<>();
    private final Map<String, List<SteppedUpstream>> mUpstreams = new LinkedHashMap<>();
    private final StreamCaller mCaller = new StreamCaller();
    private StoreStandIn mStore;
    private ProcessHarness mHarness;
    private TestGateway mWithoutRetries;
    private TestGateway mWithRetries;

    /** What the second upstream does while the first one is silent. */
    private enum Second {
        REJECTS,
        REFUSES_CONNECTIONS,
        STAYS_SILENT,
        RESPONDS_AFTER_THE_FIRST,
        BREAKS_OFF,
        FAILS
    }

    @BeforeClass
    public void start() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        for (boolean begun : new boolean[] {true, false}) {
            for (Second second : Second.values()) {
                addGroup(group(second, begun));
            }
            for (String name : List.of("none", "stop", "won", "broken", "race", "left")) {
                addGroup(name + "-" + begun);
            }
        }
        for (int i = 0; i < OTHER_RESPONSES.size(); i++) {
            addGroup("other-" + i);
        }
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "config", config());
        mHarness = new ProcessHarness();
        mWithoutRetries = startGateway("gateway-1", NO_RETRIES);
        mWithRetries = startGateway("gateway-2", ONE_FOR_EACH);
    }

    private static String group(Second second, boolean begun) {
        return "second-" + second.ordinal() + "-" + begun;
    }

    private void addGroup(String name) throws Exception {
        List<SteppedUpstream> upstreams = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            SteppedUpstream upstream = new SteppedUpstream(mCalls::add);
            upstreams.add(upstream);
            mStore.put(
                    StoreStandIn.UPSTREAM_TOPIC, name + "-" + i, upstream.announcement(name, "v1"));
        }
        mUpstreams.put(name, upstreams);
    }

    private String config() {
        return "{\"version\":1,\"routes\":[%s],\"services\":[%s],\"tenants\":[%s]}"
                .formatted(
                        String.join(
                                ",", mUpstreams.keySet().stream().map(ROUTE::formatted).toList()),
                        String.join(
                                ",", mUpstreams.keySet().stream().map(SERVICE::formatted).toList()),
                        "{\"name\":\"team-1\",\"api_keys\":[\"key-1\"]}");
    }

    private TestGateway startGateway(String name, String settings) throws Exception {
        return TestGateway.start(mHarness, name, mStore.address(), settings);
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        mHarness.close();
        mStore.close();
        for (List<SteppedUpstream> upstreams : mUpstreams.values()) {
            for (SteppedUpstream upstream : upstreams) {
                upstream.close();
            }
        }
        mThreads.shutdownNow();
    }

    /** One request and the call for it that fell silent. */
    private record Exchange(
            TestGateway gateway,
            String id,
            CompletableFuture<StreamCaller.Received> received,
            Call first,
            boolean begun) {

        /** Writes what the first upstream has not yet written. */
        void goOn() throws Exception {
            first.write(begun ? REST : HEAD.formatted(id) + FIRST + REST);
            first.end();
        }

        boolean isLogged(String event) {
            return gateway.hasLogLine("\"event\":\"" + event + "\"", "\"" + id + "\"");
        }
    }

    /** Sends a request; its upstream falls silent after the first event, or before it. */
    private Exchange send(TestGateway gateway, String group, String id, boolean begun) {
        CompletableFuture<StreamCaller.Received> received =
                CompletableFuture.supplyAsync(() -> receive(gateway, group, id), mThreads);
        Call first = awaitCall(id, 0);
        if (begun) {
            first.write(HEAD.formatted(id) + FIRST);
        }
        return new Exchange(gateway, id, received, first, begun);
    }

    private StreamCaller.Received receive(TestGateway gateway, String group, String id) {
        try {
            return mCaller.request(gateway, "/" + group + "/x", id);
        } catch (Exception e) {
            return new StreamCaller.Received(0, e.toString(), false);
        }
    }

    private List<Call> calls(String id) {
        return mCalls.stream().filter(call -> call.id().equals(id)).toList();
    }

    private Call awaitCall(String id, int index) {
        String what = "call " + index + " of " + id;
        Await.until(what, TestGateway.TIMEOUT, () -> calls(id).size() > index);
        return calls(id).get(index);
    }

    /** Waits until something has happened, or the response has ended without it. */
    private static void awaitOrEnd(Exchange exchange, String what, BooleanSupplier condition) {
        Await.until(
                what,
                TestGateway.TIMEOUT,
                () -> condition.getAsBoolean() || exchange.received().isDone());
    }

    private static void assertWhole(Exchange exchange) throws Exception {
        StreamCaller.Received received = exchange.received().get();
        assertEquals(received.status(), 200, received.body());
        assertEquals(received.body().strip(), WHOLE);
        assertTrue(received.complete(), "the response was cut off");
    }

    @DataProvider
    private static Object[][] phases() {
        return new Object[][] {{true}, {false}};
    }

    @DataProvider
    private static Object[][] seconds() {
        List<Object[]> cases = new ArrayList<>();
        for (Second second : Second.values()) {
            cases.add(new Object[] {second, true});
            cases.add(new Object[] {second, false});
        }
        return cases.toArray(new Object[0][]);
    }

    // Guards against a response that ends because its upstream is silent and no retry is allowed.
    @Test(dataProvider = "phases")
    public void silentUpstreamIsKeptWithoutRetryBudget(boolean begun) throws Exception {
        Exchange exchange = send(mWithoutRetries, "none-" + begun, "empty-" + begun, begun);
        awaitOrEnd(exchange, "the silence is noticed", () -> exchange.isLogged("stalled"));
        exchange.goOn();
        assertWhole(exchange);
    }

    // Guards against a silent upstream that is given up before another one has responded.
    @Test(dataProvider = "seconds")
    public void silentUpstreamIsKeptUntilTheSecondResponds(Second second, boolean begun)
            throws Exception {
        String group = group(second, begun);
        Exchange exchange = send(mWithRetries, group, "id-" + group, begun);
        if (second == Second.REFUSES_CONNECTIONS) {
            for (SteppedUpstream upstream : mUpstreams.get(group)) {
                upstream.refuseConnections();
            }
            awaitOrEnd(exchange, "the second fails", () -> exchange.isLogged("standby"));
            exchange.goOn();
        } else {
            goOnBesideTheSecond(exchange, second, awaitCall(exchange.id(), 1));
        }
        assertWhole(exchange);
    }

    private static void goOnBesideTheSecond(Exchange exchange, Second second, Call call)
            throws Exception {
        String id = exchange.id();
        switch (second) {
            case REJECTS -> call.write(REJECTION.formatted(id));
            case FAILS -> call.write(FAILURE.formatted(id));
            case BREAKS_OFF -> call.reset();
            default -> {}
        }
        if (second != Second.STAYS_SILENT && second != Second.RESPONDS_AFTER_THE_FIRST) {
            awaitOrEnd(exchange, "the second has ended", () -> exchange.isLogged("standby"));
        }
        exchange.goOn();
        if (second == Second.RESPONDS_AFTER_THE_FIRST) {
            call.write(HEAD.formatted(id) + (exchange.begun() ? "" : FIRST) + REST);
            call.end();
        }
    }

    @DataProvider
    private static Object[][] otherResponses() {
        return new Object[][] {{0}, {1}, {2}};
    }

    // Guards against a stream that ends because another upstream responds without events.
    @Test(dataProvider = "otherResponses")
    public void silentUpstreamIsKeptIfTheSecondDoesNotContinueTheStream(int response)
            throws Exception {
        Exchange exchange = send(mWithRetries, "other-" + response, "other-id-" + response, true);
        Call second = awaitCall(exchange.id(), 1);
        second.write(OTHER_RESPONSES.get(response).formatted(exchange.id()));
        awaitOrEnd(exchange, "the second has ended", () -> exchange.isLogged("standby"));
        exchange.goOn();
        assertWhole(exchange);
    }

    // Guards against a silent upstream that works on after the second one has responded.
    @Test(dataProvider = "phases")
    public void secondUpstreamThatRespondsGoesOn(boolean begun) throws Exception {
        Exchange exchange = send(mWithRetries, "won-" + begun, "won-id-" + begun, begun);
        Call second = awaitCall(exchange.id(), 1);
        second.write(HEAD.formatted(exchange.id()));
        exchange.first().awaitCancelled();
        second.write((begun ? "" : FIRST) + REST);
        second.end();
        assertWhole(exchange);
    }

    // Guards against a response that ends with its first upstream while the second is on its way.
    @Test(dataProvider = "phases")
    public void secondUpstreamGoesOnIfTheFirstBreaks(boolean begun) throws Exception {
        Exchange exchange = send(mWithRetries, "broken-" + begun, "broken-id-" + begun, begun);
        Call second = awaitCall(exchange.id(), 1);
        exchange.first().reset();
        Await.until(
                "the first is broken",
                TestGateway.TIMEOUT,
                () -> exchange.isLogged("response-broken"));
        second.write(HEAD.formatted(exchange.id()) + (begun ? "" : FIRST) + REST);
        second.end();
        assertWhole(exchange);
    }

    // Guards against an upstream that works on for a caller who has left.
    @Test(dataProvider = "phases")
    public void callerThatLeavesEndsBothAttempts(boolean begun) throws Exception {
        String id = "left-id-" + begun;
        Call first;
        Call second;
        try (Socket caller = new Socket("127.0.0.1", mWithRetries.port())) {
            String request = REQUEST.formatted("left-" + begun, id);
            caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            first = awaitCall(id, 0);
            if (begun) {
                first.write(HEAD.formatted(id) + FIRST);
            }
            second = awaitCall(id, 1);
        }
        first.awaitCancelled();
        second.awaitCancelled();
        assertEquals(calls(id).size(), 2);
    }

    // Guards against two silent streams that both rely on the last retry of the budget.
    @Test(dataProvider = "phases")
    public void lastRetryIsUsedByOneOfTwoSilentStreams(boolean begun) throws Exception {
        TestGateway gateway = startGateway("gateway-race-" + begun, ONE_FOR_TWO);
        Exchange one = send(gateway, "race-" + begun, "race-1-" + begun, begun);
        Exchange other = send(gateway, "race-" + begun, "race-2-" + begun, begun);
        awaitOrEnd(one, "one is noticed", () -> one.isLogged("stalled"));
        awaitOrEnd(other, "the other is noticed", () -> other.isLogged("stalled"));
        one.goOn();
        other.goOn();
        assertWhole(one);
        assertWhole(other);
        assertTrue(calls(one.id()).size() + calls(other.id()).size() <= 3);
    }

    // Guards against a stop that takes away what a response with a silent upstream needs.
    @Test(dataProvider = "phases")
    public void silentUpstreamIsKeptDuringAStop(boolean begun) throws Exception {
        TestGateway gateway = startGateway("gateway-stop-" + begun, ONE_FOR_EACH);
        Exchange exchange = send(gateway, "stop-" + begun, "stop-id-" + begun, begun);
        gateway.process().terminate();
        awaitOrEnd(exchange, "the silence is noticed", () -> exchange.isLogged("stalled"));
        exchange.goOn();
        assertWhole(exchange);
        assertEquals(gateway.process().awaitExit(TestGateway.TIMEOUT), 0);
    }
}
