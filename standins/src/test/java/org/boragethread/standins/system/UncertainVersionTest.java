package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
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
import org.boragethread.standins.harness.Await;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.StoreStandIn;
import org.boragethread.standins.system.SteppedUpstream.Call;
import org.boragethread.standins.system.StreamCaller.Received;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests streams while it is uncertain for a moment which software their upstreams run. */
public class UncertainVersionTest {

    private static final String ROUTE =
            """
            {"name":"%1$s","hostname":"127.0.0.1","path_prefix":"/%1$s/","kind":"streaming",
             "can_resume":true,"timeout_ms":%2$d,"target_latency_ms":400,"gap_aim_ms":300,
             "service":"%1$s","max_attempts":3}""";

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

    private static final String FIRST = "id: 0\ndata: one\n\n";
    private static final String PARTIAL = "id: 1\n";
    private static final String REST = "id: 1\ndata: two\n\nid: 2\ndata: three\n\n";
    private static final String WHOLE = (FIRST + REST).strip();

    /** More retries than all cases need, so that a missing one decides nothing here. */
    private static final String MANY_RETRIES = "[shares]\nretry_ratio = 1\nretry_slack = 40";

    private static final int TIMEOUT_MILLIS = 8000;

    /** Less than the longest wait for a version. */
    private static final int SHORT_TIMEOUT_MILLIS = 1000;

    private static final String SHORT = "short";
    private static final List<String> GROUPS =
            List.of("probe", "broken", "head", "second", "left", "term", SHORT);

    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final List<Call> mCalls = new CopyOnWriteArrayList<>();
    private final Map<String, List<SteppedUpstream>> mUpstreams = new LinkedHashMap<>();
    private final StreamCaller mCaller = new StreamCaller();
    private StoreStandIn mStore;
    private ProcessHarness mHarness;
    private TestGateway mGateway;
    private int mProbes;

    /** What becomes of the upstreams that are uncertain. */
    private enum Outcome {
        CONFIRMED,
        ANOTHER_RUN
    }

    @BeforeClass
    public void start() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        for (String group : GROUPS) {
            List<SteppedUpstream> upstreams = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                upstreams.add(new SteppedUpstream(mCalls::add));
            }
            mUpstreams.put(group, upstreams);
            announce(group, "v1");
        }
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "config", config());
        mHarness = new ProcessHarness();
        mGateway = startGateway("gateway-1");
    }

    private void announce(String group, String version) {
        for (int i = 0; i < 2; i++) {
            mStore.put(
                    StoreStandIn.UPSTREAM_TOPIC,
                    group + "-" + i,
                    mUpstreams.get(group).get(i).announcement(group, version));
        }
    }

    private static String config() {
        List<String> routes =
                GROUPS.stream()
                        .map(
                                group ->
                                        ROUTE.formatted(
                                                group,
                                                group.equals(SHORT)
                                                        ? SHORT_TIMEOUT_MILLIS
                                                        : TIMEOUT_MILLIS))
                        .toList();
        return "{\"version\":1,\"routes\":[%s],\"services\":[%s],\"tenants\":[%s]}"
                .formatted(
                        String.join(",", routes),
                        String.join(",", GROUPS.stream().map(SERVICE::formatted).toList()),
                        "{\"name\":\"team-1\",\"api_keys\":[\"key-1\"]}");
    }

    private TestGateway startGateway(String name) throws Exception {
        return TestGateway.start(mHarness, name, mStore.address(), MANY_RETRIES);
    }

    @BeforeMethod
    public void makeCertain() throws Exception {
        mStore.setDown(false);
        Await.until("the gateway is ready", TestGateway.TIMEOUT, () -> mGateway.readiness() == 200);
        GROUPS.forEach(group -> announce(group, "v1"));
        awaitCertain(mGateway);
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

    /** Waits until a stream that breaks off goes on at another upstream without delay. */
    private void awaitCertain(TestGateway gateway) throws Exception {
        Await.until("versions are certain", TestGateway.TIMEOUT, () -> isCertain(gateway));
    }

    private boolean isCertain(TestGateway gateway) {
        mProbes++;
        Exchange probe = send(gateway, "probe", "probe-" + mProbes);
        try {
            probe.breakOff();
            Await.until(
                    "the probe has ended or goes on",
                    TestGateway.TIMEOUT,
                    () -> probe.received().isDone() || calls(probe.id()).size() > 1);
            for (Call call : calls(probe.id()).subList(1, calls(probe.id()).size())) {
                call.write(HEAD.formatted(probe.id()) + REST);
                call.end();
            }
            return probe.received().get().complete()
                    && !gateway.hasLogLine("\"version-wait\"", "\"" + probe.id() + "\"");
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Makes all versions uncertain until {@link #decide}. */
    private void doubt(TestGateway gateway) {
        long known = readings(gateway);
        mStore.copyRecords();
        mStore.restoreCopy();
        Await.until("the older copy is read", TestGateway.TIMEOUT, () -> readings(gateway) > known);
        mStore.setDown(true);
    }

    private static long readings(TestGateway gateway) {
        return gateway.process().lines().stream()
                .filter(line -> line.contains("\"event\":\"upstreams\""))
                .count();
    }

    private void decide(String group, Outcome outcome) {
        if (outcome == Outcome.ANOTHER_RUN) {
            announce(group, "v2");
        }
        mStore.setDown(false);
    }

    /** One request and the first call for it. */
    private record Exchange(
            TestGateway gateway, String id, CompletableFuture<Received> received, Call first) {

        /** Writes the first event and closes the connection inside the second one. */
        void breakOff() throws Exception {
            first.write(HEAD.formatted(id) + FIRST + PARTIAL);
            first.end();
        }

        void awaitWait(String reason) {
            Await.until(
                    "a wait for " + reason,
                    TestGateway.TIMEOUT,
                    () -> isWaiting(reason) || received.isDone());
            assertTrue(isWaiting(reason), "no wait for " + reason + ": " + lines());
        }

        /** Returns what the gateway has logged of the request. */
        List<String> lines() {
            return gateway.process().lines().stream()
                    .filter(line -> line.contains("\"" + id + "\""))
                    .toList();
        }

        private boolean isWaiting(String reason) {
            return gateway.hasLogLine(
                    "\"version-wait\"", "\"" + id + "\"", "\"reason\":\"" + reason + "\"");
        }
    }

    private Exchange send(TestGateway gateway, String group, String id) {
        CompletableFuture<Received> received =
                CompletableFuture.supplyAsync(() -> receive(gateway, group, id), mThreads);
        return new Exchange(gateway, id, received, awaitCall(id, 0));
    }

    private Received receive(TestGateway gateway, String group, String id) {
        try {
            return mCaller.request(gateway, "/" + group + "/x", id);
        } catch (Exception e) {
            return new Received(0, e.toString(), false);
        }
    }

    private List<Call> calls(String id) {
        return mCalls.stream().filter(call -> call.id().equals(id)).toList();
    }

    private Call awaitCall(String id, int index) {
        Await.until(
                "call " + index + " of " + id, TestGateway.TIMEOUT, () -> calls(id).size() > index);
        return calls(id).get(index);
    }

    /** Waits for a further call, which must come before the response ends. */
    private Call awaitNextCall(Exchange exchange) {
        Await.until(
                "the next call of " + exchange.id(),
                TestGateway.TIMEOUT,
                () -> calls(exchange.id()).size() > 1 || exchange.received().isDone());
        assertTrue(calls(exchange.id()).size() > 1, "only one call: " + exchange.lines());
        return calls(exchange.id()).get(1);
    }

    private static void continueAt(Call call) throws Exception {
        call.write(HEAD.formatted(call.id()) + REST);
        call.end();
    }

    private static void assertWhole(Exchange exchange) throws Exception {
        Received received = exchange.received().get();
        assertEquals(received.status(), 200, received.body());
        assertEquals(received.body().strip(), WHOLE);
        assertTrue(received.complete(), "the response was cut off");
    }

    private static void assertCutOffAfterFirst(Exchange exchange) throws Exception {
        Received received = exchange.received().get();
        assertEquals(received.body().strip(), FIRST.strip());
        assertFalse(received.complete(), "the response looks complete");
    }

    private static void assertEnd(Exchange exchange, Outcome outcome) throws Exception {
        if (outcome == Outcome.CONFIRMED) {
            assertWhole(exchange);
        } else {
            assertCutOffAfterFirst(exchange);
        }
    }

    @DataProvider
    private static Object[][] outcomes() {
        return new Object[][] {{Outcome.CONFIRMED}, {Outcome.ANOTHER_RUN}};
    }

    // Guards against a stream that is cut off, or mixed, because its upstream breaks off while it
    // is uncertain which software that one runs.
    @Test(dataProvider = "outcomes")
    public void streamInterruptedWhileItsVersionIsUncertainWaits(Outcome outcome) throws Exception {
        doubt(mGateway);
        Exchange exchange = send(mGateway, "broken", "broken-" + outcome);
        exchange.breakOff();
        exchange.awaitWait("interrupted");
        assertEquals(calls(exchange.id()).size(), 1);
        decide("broken", outcome);
        if (outcome == Outcome.CONFIRMED) {
            continueAt(awaitNextCall(exchange));
        }
        assertEnd(exchange, outcome);
        assertEquals(calls(exchange.id()).size(), outcome == Outcome.CONFIRMED ? 2 : 1);
    }

    // Guards against a stream that is cut off, or mixed, because the upstream that goes on becomes
    // uncertain before it responds.
    @Test(dataProvider = "outcomes")
    public void streamWaitsIfTheUpstreamThatGoesOnIsUncertain(Outcome outcome) throws Exception {
        Exchange exchange = send(mGateway, "head", "head-" + outcome);
        exchange.breakOff();
        Call second = awaitNextCall(exchange);
        doubt(mGateway);
        continueAt(second);
        exchange.awaitWait("responds");
        decide("head", outcome);
        assertEnd(exchange, outcome);
    }

    /** What the first, silent upstream does while the second one is held. */
    private enum First {
        STAYS_SILENT,
        GOES_ON,
        BREAKS_OFF
    }

    @DataProvider
    private static Object[][] firstsAndOutcomes() {
        List<Object[]> cases = new ArrayList<>();
        for (First first : First.values()) {
            for (Outcome outcome : Outcome.values()) {
                cases.add(new Object[] {first, outcome});
            }
        }
        return cases.toArray(new Object[0][]);
    }

    // Guards against a second attempt beside a silent upstream that is dropped, or mixed in, since
    // its version is uncertain when it responds.
    @Test(dataProvider = "firstsAndOutcomes")
    public void secondUpstreamIsHeldWhileItsVersionIsUncertain(First first, Outcome outcome)
            throws Exception {
        Exchange exchange = send(mGateway, "second", "second-" + first + "-" + outcome);
        exchange.first().write(HEAD.formatted(exchange.id()) + FIRST);
        Call second = awaitNextCall(exchange);
        doubt(mGateway);
        second.write(HEAD.formatted(exchange.id()) + REST);
        exchange.awaitWait("second-responds");
        if (first == First.GOES_ON) {
            exchange.first().write(REST);
            second.awaitCancelled();
            exchange.first().end();
            assertWhole(exchange);
            return;
        }
        if (first == First.BREAKS_OFF) {
            exchange.first().reset();
            mGateway.awaitLogLine("\"response-broken\"", "\"" + exchange.id() + "\"");
        }
        second.end();
        decide("second", outcome);
        if (first == First.STAYS_SILENT && outcome == Outcome.ANOTHER_RUN) {
            mGateway.awaitLogLine("\"standby\"", "\"" + exchange.id() + "\"", "not-usable");
            exchange.first().write(REST);
            exchange.first().end();
            assertWhole(exchange);
            return;
        }
        assertEnd(exchange, outcome);
    }

    @DataProvider
    private static Object[][] waits() {
        return new Object[][] {{"interrupted"}, {"responds"}};
    }

    // Guards against a wait that goes on, or calls upstreams, for a caller who has left.
    @Test(dataProvider = "waits")
    public void callerThatLeavesEndsTheWait(String reason) throws Exception {
        String id = "left-" + reason;
        Call first;
        try (Socket caller = new Socket("127.0.0.1", mGateway.port())) {
            if (reason.equals("interrupted")) {
                doubt(mGateway);
            }
            String request = REQUEST.formatted("left", id);
            caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            first = awaitCall(id, 0);
            first.write(HEAD.formatted(id) + FIRST + PARTIAL);
            first.end();
            if (reason.equals("responds")) {
                Call second = awaitCall(id, 1);
                doubt(mGateway);
                second.write(HEAD.formatted(id) + REST);
            }
            mGateway.awaitLogLine("\"version-wait\"", "\"" + id + "\"", reason);
        }
        mGateway.awaitLogLine("\"cancelled\"", "\"" + id + "\"");
        if (reason.equals("responds")) {
            calls(id).get(1).awaitCancelled();
        }
        decide("left", Outcome.CONFIRMED);
        mGateway.awaitLogLine("\"version-wait\"", "\"" + id + "\"", "\"outcome\":\"decided\"");
        assertEquals(calls(id).size(), reason.equals("responds") ? 2 : 1);
    }

    // Guards against a wait that outlasts the time the request has.
    @Test
    public void deadlineEndsTheWait() throws Exception {
        doubt(mGateway);
        Exchange exchange = send(mGateway, SHORT, "deadline");
        exchange.breakOff();
        exchange.awaitWait("interrupted");
        assertCutOffAfterFirst(exchange);
        mGateway.awaitLogLine("\"broken-off\"", "\"deadline\"", "\"decidedBy\":\"deadline\"");
        assertEquals(calls(exchange.id()).size(), 1);
    }

    // Guards against a stream that nobody can take up since its upstream was in doubt as it began.
    @Test
    public void streamBegunWhileItsVersionIsUncertainIsTakenUp() throws Exception {
        doubt(mGateway);
        Exchange exchange = send(mGateway, SHORT, "begun-in-doubt");
        exchange.first().write(HEAD.formatted(exchange.id()) + FIRST);
        decide(SHORT, Outcome.CONFIRMED);
        assertCutOffAfterFirst(exchange);
        awaitCertain(mGateway);
        Received begun = exchange.received().get();
        CompletableFuture<Received> later =
                CompletableFuture.supplyAsync(() -> takeUp(exchange.id(), begun), mThreads);
        Await.until(
                "the stream is taken up, or refused",
                TestGateway.TIMEOUT,
                () -> !calls("later").isEmpty() || later.isDone());
        assertFalse(calls("later").isEmpty(), "not sent to an upstream");
        continueAt(calls("later").get(0));
        assertTrue(later.get().complete(), later.get().body());
    }

    private Received takeUp(String firstId, Received begun) {
        try {
            return mCaller.takeUp(mGateway, "/" + SHORT + "/x", "later", firstId, begun);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    // Guards against a stop that cuts off a stream that waits for a version, or waits without end.
    @Test(dataProvider = "outcomes")
    public void streamWaitsForItsVersionDuringAStop(Outcome outcome) throws Exception {
        TestGateway gateway = startGateway("gateway-" + outcome);
        awaitCertain(gateway);
        doubt(gateway);
        Exchange exchange = send(gateway, "term", "term-" + outcome);
        exchange.breakOff();
        exchange.awaitWait("interrupted");
        gateway.process().terminate();
        gateway.awaitLogLine("\"stop\"");
        decide("term", outcome);
        if (outcome == Outcome.CONFIRMED) {
            continueAt(awaitNextCall(exchange));
        }
        assertEnd(exchange, outcome);
        assertEquals(gateway.process().awaitExit(TestGateway.TIMEOUT), 0);
    }

    // Guards against a process that does not end because a stream waits for a version.
    @Test
    public void waitWithoutAStoreEndsWithTheGracePeriod() throws Exception {
        TestGateway gateway = startGateway("gateway-without-store");
        awaitCertain(gateway);
        doubt(gateway);
        Exchange exchange = send(gateway, "term", "term-without-store");
        exchange.breakOff();
        exchange.awaitWait("interrupted");
        gateway.process().terminate();
        assertCutOffAfterFirst(exchange);
        assertEquals(gateway.process().awaitExit(TestGateway.TIMEOUT), 0);
    }
}
