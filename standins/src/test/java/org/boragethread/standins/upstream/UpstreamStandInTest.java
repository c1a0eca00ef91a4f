package org.boragethread.standins.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.boragethread.standins.HttpCalls;
import org.boragethread.standins.harness.Await;
import org.boragethread.standins.http.Json;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that upstream stand-ins answer as upstreams do and count their calls. */
public final class UpstreamStandInTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private List<UpstreamFleet> mFleets;

    @BeforeMethod
    public void reset() {
        mFleets = new ArrayList<>();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mFleets.forEach(UpstreamFleet::close);
    }

    @Test
    public void plainResultIsFunctionOfPathRequestAndInput() throws Exception {
        HttpCalls calls = calls(start("{}"));
        String body = calls.post("/encode", "in", "Request-Id", "r1").body();
        byte[] expected = StageOutput.plainResult("/encode", "r1", bytes("in"), 0);
        assertEquals(body, new String(expected, StandardCharsets.UTF_8));
        assertNotEquals(calls.post("/encode", "in", "Request-Id", "r2").body(), body);
        assertNotEquals(calls.post("/rerank", "in", "Request-Id", "r1").body(), body);
    }

    @Test
    public void engineStreamsTokensAndEndEvent() throws Exception {
        HttpCalls calls = calls(start("{\"kind\":\"ENGINE\",\"tokens\":3}"));
        String[] tokens = StageOutput.tokens("/gen", "r1", bytes("in"), 3);
        String expected =
                "data: %s\n\ndata: %s\n\ndata: %s\n\nevent: end\ndata: end\n\n"
                        .formatted(tokens[0], tokens[1], tokens[2]);
        assertEquals(calls.post("/gen", "in", "Request-Id", "r1").body(), expected);
    }

    @Test
    public void engineResumesAfterReceivedTokens() throws Exception {
        HttpCalls calls = calls(start("{\"kind\":\"ENGINE\",\"tokens\":3}"));
        String[] tokens = StageOutput.tokens("/gen", "r1", bytes("in"), 3);
        String rest = calls.post("/gen", "in", "Request-Id", "r1", "Resume-From", "2").body();
        assertEquals(rest, "data: %s\n\nevent: end\ndata: end\n\n".formatted(tokens[2]));
    }

    @Test
    public void cachedPrefixIsCounted() throws Exception {
        Upstream engine = start("{\"kind\":\"ENGINE\",\"tokens\":1,\"prefixBytes\":4}");
        calls(engine).post("/gen", "same one");
        calls(engine).post("/gen", "same two");
        calls(engine).post("/gen", "other");
        assertEquals(engine.stats().prefixHits(), 1);
    }

    @Test
    public void coldUpstreamFailsUnderOverload() throws Exception {
        Upstream upstream =
                start("{\"coldCapacity\":1,\"warmCalls\":4,\"fallOverMs\":300,\"serviceMs\":200}");
        HttpCalls calls = calls(upstream);
        CompletableFuture<HttpResponse<String>> first = calls.postAsync("/x", "1");
        Await.until("first call arrives", TIMEOUT, () -> upstream.stats().concurrent() == 1);
        assertEquals(calls.post("/x", "2").statusCode(), 500);
        assertEquals(first.get(10, TimeUnit.SECONDS).statusCode(), 500);
        assertEquals(calls.post("/x", "3").statusCode(), 500);
        assertEquals(upstream.stats().overloads(), 1);
        Await.until("recovery", TIMEOUT, () -> status(calls) == 200);
    }

    @Test
    public void goodCallsWarmUpstream() throws Exception {
        Upstream upstream = start("{\"coldCapacity\":1,\"warmCalls\":3,\"serviceMs\":1}");
        for (int i = 0; i < 3; i++) {
            assertTrue(upstream.stats().cold());
            calls(upstream).post("/x", "in");
        }
        Await.until("warm", TIMEOUT, () -> !upstream.stats().cold());
        upstream.goCold();
        assertTrue(upstream.stats().cold());
    }

    @Test
    public void callsAboveMaximumAreRefusedAsNotRun() throws Exception {
        Upstream upstream = start("{\"capacity\":1,\"maxConcurrent\":1,\"serviceMs\":500}");
        HttpCalls calls = calls(upstream);
        CompletableFuture<HttpResponse<String>> first = calls.postAsync("/x", "1");
        Await.until("first call arrives", TIMEOUT, () -> upstream.stats().concurrent() == 1);
        HttpResponse<String> second = calls.post("/x", "2");
        assertEquals(second.statusCode(), 503);
        assertEquals(second.headers().firstValue("Ran").orElse(""), "no");
        assertEquals(first.get(10, TimeUnit.SECONDS).statusCode(), 200);
    }

    @Test
    public void closedConnectionCancelsCall() throws Exception {
        Upstream upstream = start("{\"serviceMs\":60000}");
        CompletableFuture<HttpResponse<String>> call = calls(upstream).postAsync("/x", "1");
        Await.until("call arrives", TIMEOUT, () -> upstream.stats().concurrent() == 1);
        call.cancel(true);
        Await.until("call is cancelled", TIMEOUT, () -> upstream.stats().cancelled() == 1);
        assertEquals(upstream.stats().concurrent(), 0);
    }

    @Test
    public void ledgerHoldsExecutedOrders() throws Exception {
        Upstream upstream = start("{\"kind\":\"ORDERS\"}");
        calls(upstream).post("/cut", "span 7", "Request-Id", "r1", "Attempt", "0");
        calls(upstream).post("/cut", "span 7", "Request-Id", "r1", "Attempt", "1");
        List<Order> ledger = upstream.ledger();
        assertEquals(ledger.size(), 2);
        assertEquals(ledger.get(1).requestId(), "r1");
        assertEquals(ledger.get(1).attempt(), 1);
        assertEquals(ledger.get(0).bodyHash(), StageOutput.sha256Hex(bytes("span 7")));
    }

    @Test
    public void busyAnswerExecutesNoOrder() throws Exception {
        Upstream upstream = start("{\"kind\":\"ORDERS\"}");
        calls(upstream).post("/control", "{\"busyRate\":1}");
        HttpResponse<String> busy = calls(upstream).post("/cut", "span 7");
        assertEquals(busy.statusCode(), 503);
        assertEquals(busy.headers().firstValue("Ran").orElse(""), "no");
        assertEquals(upstream.ledger().size(), 0);
    }

    @Test
    public void partialAnswerEndsWithClosedConnection() throws Exception {
        Upstream upstream = start("{}");
        calls(upstream).post("/control", "{\"halfAnswers\":1}");
        assertThrows(IOException.class, () -> calls(upstream).post("/x", "in"));
        assertEquals(upstream.stats().failed(), 1);
    }

    @Test
    public void reportsLoadWhenAsked() throws Exception {
        Upstream upstream = start("{\"loadLagMs\":0,\"maxConcurrent\":9}");
        HttpResponse<String> answer = calls(upstream).post("/x", "in");
        String load = answer.headers().firstValue("Upstream-Load").orElse("");
        assertTrue(load.matches("in-flight=\\d+;limit=9;age-ms=0"), load);
    }

    @Test
    public void connectionsAreAcceptedAgainOnSamePort() throws Exception {
        Upstream upstream = start("{}");
        String address = upstream.address();
        upstream.disconnect();
        assertThrows(IOException.class, () -> new HttpCalls(address).post("/x", "in"));
        upstream.reconnect();
        assertEquals(new HttpCalls(address).post("/x", "in").statusCode(), 200);
    }

    private Upstream start(String settings) throws IOException {
        UpstreamSettings merged =
                Json.merge(UpstreamSettings.DEFAULTS, bytes(settings), UpstreamSettings.class);
        UpstreamFleet fleet = UpstreamFleet.start(List.of(merged));
        mFleets.add(fleet);
        return fleet.upstream(merged.name());
    }

    private static HttpCalls calls(Upstream upstream) {
        return new HttpCalls(upstream.address());
    }

    private static int status(HttpCalls calls) {
        try {
            return calls.post("/x", "again").statusCode();
        } catch (IOException e) {
            return 0;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
