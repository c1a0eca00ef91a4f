package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.StoreStandIn;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests an upstream that writes an earlier refusal once more on a kept connection. */
public class RepeatedRefusalTest {

    private static final String ROUTE =
            """
            {"name":"%1$s","hostname":"127.0.0.1","path_prefix":"/%1$s/","kind":"%2$s",
             "can_resume":%3$s,"timeout_ms":4000,"target_latency_ms":2000,"gap_aim_ms":2000,
             "service":"%1$s","max_attempts":2}""";

    private static final String SHARES = "[shares]\nretry_ratio = 1\nretry_slack = 0";

    private static final String ID_HEADER = "X-Boragethread-Request-Id: %s\r\n";

    /** Pause after which an upstream is called again, in seconds. */
    private static final String SHORT_PAUSE = "Retry-After: 0.1\r\n";

    private static final String REFUSAL =
            "HTTP/1.1 503 Service Unavailable\r\n%sX-Boragethread-Not-Executed: 1\r\n"
                    + "Content-Length: 4\r\n\r\nfull";

    private static final String EVENT = "id: 0\ndata: one\n\n";

    private static final String SUCCESS =
            "HTTP/1.1 200 OK\r\n%sX-Boragethread-Response-Seal: seal\r\n"
                    + "Content-Type: text/event-stream\r\nContent-Length: "
                    + EVENT.length()
                    + "\r\n\r\n"
                    + EVENT;

    /** Connections on which the requests of an ID arrived, in their order. */
    private final Map<String, List<Socket>> mArrivals = new ConcurrentHashMap<>();

    /** What the upstream writes for the next requests, by path. */
    private final Map<String, List<String>> mScripts = new ConcurrentHashMap<>();

    private StoreStandIn mStore;
    private final List<ScriptedUpstream> mUpstreams = new ArrayList<>();
    private ProcessHarness mHarness;
    private TestGateway mGateway;

    @BeforeClass
    public void start() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        List<String> routes = new ArrayList<>();
        List<String> services = new ArrayList<>();
        for (String kind : List.of("safe", "resumable", "unsafe")) {
            for (String name : List.of("named", "unnamed", "same", "sound")) {
                String group = kind + "-" + name;
                String routeKind = kind.equals("resumable") ? "streaming" : kind;
                routes.add(ROUTE.formatted(group, routeKind, kind.equals("resumable")));
                services.add("{\"name\":\"%s\",\"max_conns\":9}".formatted(group));
                ScriptedUpstream upstream = new ScriptedUpstream(0, this::respond);
                mUpstreams.add(upstream);
                mStore.put(StoreStandIn.UPSTREAM_TOPIC, group + "-1", upstream.announcement(group));
            }
        }
        mStore.put(
                StoreStandIn.OPERATOR_TOPIC,
                "config",
                """
                {"version":1,"routes":[%s],"services":[%s],
                 "tenants":[{"name":"team-1","api_keys":["key-1"]}]}"""
                        .formatted(String.join(",", routes), String.join(",", services)));
        mHarness = new ProcessHarness();
        mGateway = TestGateway.start(mHarness, "gateway-1", mStore.address(), SHARES);
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        mHarness.close();
        mStore.close();
        for (ScriptedUpstream upstream : mUpstreams) {
            upstream.close();
        }
    }

    /**
     * Writes the next part of the script of a path, after a copy of the earlier refusal if the same
     * request arrives on the same connection again.
     */
    private void respond(ScriptedUpstream.Request request, Socket connection) throws IOException {
        List<Socket> arrivals =
                mArrivals.computeIfAbsent(request.id(), id -> new CopyOnWriteArrayList<>());
        String copy = arrivals.contains(connection) ? of(REFUSAL, request.id()) : "";
        arrivals.add(connection);
        String response = copy + mScripts.get(request.path()).remove(0);
        connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
    }

    private HttpResponse<String> post(String group, String id) throws Exception {
        return mGateway.postWithKey("/" + group + "/x", id);
    }

    private void script(String group, String... responses) {
        mScripts.put("/" + group + "/x", new CopyOnWriteArrayList<>(responses));
    }

    /** Returns a text with the ID of a request. */
    private static String of(String format, String id) {
        return format.formatted(ID_HEADER.formatted(id));
    }

    private Socket connection(String id, int index) {
        return mArrivals.get(id).get(index);
    }

    @DataProvider
    private static Object[] keptKinds() {
        return new Object[] {"safe", "resumable"};
    }

    // Guards against a refusal of another request that a caller receives.
    @Test(dataProvider = "keptKinds")
    public void refusalOfAnotherRequestIsIgnored(String kind) throws Exception {
        String group = kind + "-named";
        String first = group + "-first";
        String second = group + "-second";
        String refusal = of(REFUSAL, first);
        script(group, refusal, refusal + of(SUCCESS, second));
        assertEquals(post(group, first).statusCode(), 503);
        assertEquals(post(group, second).statusCode(), 200);
        assertSame(connection(second, 0), connection(first, 0), "the connection was not kept");
    }

    // Guards against 'not run' for a request that runs, after a refusal that names no request.
    @Test(dataProvider = "keptKinds")
    public void refusalThatNamesNoRequestIsNoneOnAKeptConnection(String kind) throws Exception {
        String group = kind + "-unnamed";
        String first = group + "-first";
        String second = group + "-second";
        String refusal = REFUSAL.formatted("");
        script(group, refusal, refusal + of(SUCCESS, second));
        assertEquals(post(group, first).statusCode(), 503);
        HttpResponse<String> received = post(group, second);
        assertNotEquals(received.statusCode(), 503, "the request runs");
        assertTrue(!received.body().contains("\"ran\":\"no\""), received.body());
        assertSame(connection(second, 0), connection(first, 0), "the connection was not kept");
    }

    // Guards against 'not run' for a request that its upstream refused first and then runs.
    @Test(dataProvider = "keptKinds")
    public void refusalOfAnEarlierAttemptIsNotReadAgain(String kind) throws Exception {
        String group = kind + "-same";
        String id = group + "-id";
        String refusal = of(REFUSAL, id).replace("\r\n\r\n", "\r\n" + SHORT_PAUSE + "\r\n");
        script(group, refusal, of(SUCCESS, id));
        HttpResponse<String> received = post(group, id);
        assertEquals(received.statusCode(), 200, received.body());
        assertEquals(received.body(), EVENT);
        assertEquals(mArrivals.get(id).size(), 2);
    }

    // Guards against refusals that are not believed though they are sound.
    @Test(dataProvider = "keptKinds")
    public void refusalOfTheRequestItselfIsPassedOn(String kind) throws Exception {
        String group = kind + "-sound";
        String first = group + "-first";
        String second = group + "-second";
        String third = group + "-third";
        script(
                group,
                of(SUCCESS, first),
                of(REFUSAL, second).replace("\r\n\r\n", "\r\nRetry-After: 0\r\n\r\n"),
                of(SUCCESS, third));
        assertEquals(post(group, first).statusCode(), 200);
        HttpResponse<String> refused = post(group, second);
        assertEquals(refused.statusCode(), 503);
        assertTrue(refused.body().contains("\"ran\":\"no\""), refused.body());
        assertEquals(post(group, third).statusCode(), 200);
        assertSame(connection(second, 0), connection(first, 0), "the connection was not kept");
        assertSame(connection(third, 0), connection(second, 0), "the connection was not kept");
    }

    // Guards against a refusal that is read for a request that may run once only.
    @Test
    public void requestThatMayRunOnceUsesANewConnection() throws Exception {
        String group = "unsafe-named";
        String first = group + "-first";
        String second = group + "-second";
        script(group, of(REFUSAL, first), of(SUCCESS, second));
        assertEquals(post(group, first).statusCode(), 503);
        assertEquals(post(group, second).statusCode(), 200);
        assertNotSame(connection(second, 0), connection(first, 0));
    }

    // Guards against a refusal on a new connection that is not believed.
    @Test
    public void refusalThatNamesNoRequestIsPassedOnOnANewConnection() throws Exception {
        String group = "unsafe-unnamed";
        script(group, REFUSAL.formatted(""));
        assertEquals(post(group, group).statusCode(), 503);
    }
}
