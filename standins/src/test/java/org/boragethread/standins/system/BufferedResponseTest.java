package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.StoreStandIn;
import org.boragethread.standins.system.SteppedUpstream.Call;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests second attempts beside an upstream that has sent a part of a response that is held. */
public class BufferedResponseTest {

    private static final String ROUTE =
            """
            {"name":"%1$s","hostname":"127.0.0.1","path_prefix":"/%1$s/","kind":"safe",
             "timeout_ms":9000,"target_latency_ms":300,"service":"%1$s","max_attempts":2}""";

    private static final String SHARES = "[shares]\nretry_ratio = 1\nretry_slack = 0";

    private static final List<String> GROUPS =
            List.of("progress", "head", "both", "whole", "large", "late-head");

    /** More than an entry holds of one response. */
    private static final int LARGE = 300 << 10;

    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final SteppedCalls mCalls = new SteppedCalls();
    private StoreStandIn mStore;
    private ProcessHarness mHarness;
    private TestGateway mGateway;

    /** A request, the silent call for it and the one beside it. */
    private record Exchange(
            CompletableFuture<HttpResponse<String>> response, Call first, Call second) {}

    @BeforeClass
    public void start() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        List<String> routes = new ArrayList<>();
        List<String> services = new ArrayList<>();
        for (String group : GROUPS) {
            routes.add(ROUTE.formatted(group));
            services.add("{\"name\":\"%s\",\"max_conns\":9}".formatted(group));
            for (int i = 0; i < 2; i++) {
                mStore.put(
                        StoreStandIn.UPSTREAM_TOPIC,
                        group + "-" + i,
                        mCalls.addUpstream().announcement(group, "v1"));
            }
        }
        mStore.put(
                StoreStandIn.OPERATOR_TOPIC,
                "config",
                "{\"version\":1,\"routes\":[%s],\"services\":[%s],\"tenants\":[%s]}"
                        .formatted(
                                String.join(",", routes),
                                String.join(",", services),
                                "{\"name\":\"team-1\",\"api_keys\":[\"key-1\"]}"));
        mHarness = new ProcessHarness();
        mGateway = TestGateway.start(mHarness, "gateway-1", mStore.address(), SHARES);
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        mHarness.close();
        mStore.close();
        mCalls.close();
        mThreads.shutdownNow();
    }

    private HttpResponse<String> post(String group) {
        try {
            return mGateway.postWithKey("/" + group + "/x", group);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sends a request whose upstream falls silent after a text. */
    private Exchange send(String group, String text) {
        CompletableFuture<HttpResponse<String>> response =
                CompletableFuture.supplyAsync(() -> post(group), mThreads);
        Call first = mCalls.await(group, 0);
        first.write(text);
        return new Exchange(response, first, mCalls.await(group, 1));
    }

    private static String head(String group, int length) {
        return SteppedCalls.head("200 OK", group, length);
    }

    private static void assertBody(Exchange exchange, String body) throws Exception {
        HttpResponse<String> response = exchange.response().get();
        assertEquals(response.statusCode(), 200, response.body());
        assertEquals(response.body(), body);
    }

    private void awaitStandby(String group, String outcome) {
        mGateway.awaitLogLine("\"event\":\"standby\"", "\"" + group + "\"", outcome);
    }

    // Guards against an upstream that counts as silent while the body of its response arrives.
    @Test
    public void bodyThatIsHeldIsProgress() throws Exception {
        Exchange exchange = send("progress", head("progress", 6) + "on");
        exchange.first().write("e-");
        awaitStandby("progress", "withdrawn");
        exchange.second().awaitCancelled();
        exchange.first().write("ok");
        assertBody(exchange, "one-ok");
    }

    // Guards against an upstream that counts as silent though the head of its response arrives.
    @Test
    public void headIsProgress() throws Exception {
        Exchange exchange = send("late-head", "");
        exchange.first().write(head("late-head", 2));
        awaitStandby("late-head", "withdrawn");
        exchange.second().awaitCancelled();
        exchange.first().write("ok");
        assertBody(exchange, "ok");
    }

    // Guards against a held response that is thrown away for another one that has only begun.
    @Test
    public void headOfTheSecondDoesNotEndAResponseThatHasBegun() throws Exception {
        Exchange exchange = send("head", head("head", 6) + "one");
        exchange.second().write(head("head", 6) + "t");
        exchange.second().write("wo");
        exchange.first().write("-ok");
        assertBody(exchange, "one-ok");
        exchange.second().awaitCancelled();
    }

    // Guards against a response that ends with its first upstream though a second one goes on.
    @Test
    public void secondGoesOnIfTheFirstBreaksInsideItsBody() throws Exception {
        Exchange exchange = send("both", head("both", 6) + "one");
        exchange.second().write(head("both", 6) + "two");
        exchange.first().reset();
        awaitStandby("both", "taken-over");
        exchange.second().write("-ok");
        assertBody(exchange, "two-ok");
    }

    // Guards against a silent upstream that is kept though another one has the whole response.
    @Test
    public void wholeResponseOfTheSecondWins() throws Exception {
        Exchange exchange = send("whole", head("whole", 6) + "one");
        exchange.second().write(head("whole", 6) + "two-ok");
        assertBody(exchange, "two-ok");
        exchange.first().awaitCancelled();
    }

    // Guards against two responses in one if the second is too large to be held.
    @Test
    public void secondResponseThatIsTooLargeToHoldWins() throws Exception {
        Exchange exchange = send("large", head("large", 6) + "one");
        String body = "x".repeat(LARGE);
        exchange.second().write(head("large", LARGE + 2) + body);
        exchange.first().awaitCancelled();
        exchange.second().write("ok");
        assertBody(exchange, body + "ok");
        assertTrue(mCalls.of("large").size() == 2);
    }
}
