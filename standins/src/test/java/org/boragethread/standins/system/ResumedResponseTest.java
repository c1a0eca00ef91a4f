package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.StoreStandIn;
import org.boragethread.standins.system.ResponseScript.Ending;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests responses that break off at one upstream while another one could run the request. */
public class ResumedResponseTest {

    private static final String CONFIG =
            """
            {"version":1,"routes":[
            {"name":"stream","hostname":"127.0.0.1","path_prefix":"/stream/","kind":"streaming",
             "can_resume":true,"timeout_ms":5000,"target_latency_ms":400,"gap_aim_ms":400,
             "service":"engines","max_attempts":2},
            {"name":"pinned","hostname":"127.0.0.1","path_prefix":"/pinned/","kind":"streaming",
             "timeout_ms":5000,"target_latency_ms":400,"gap_aim_ms":400,
             "service":"engines","max_attempts":2},
            {"name":"safe","hostname":"127.0.0.1","path_prefix":"/safe/","kind":"safe",
             "timeout_ms":5000,"target_latency_ms":400,"service":"engines","max_attempts":2}],
            "services":[{"name":"engines","max_conns":100}],
            "limits":{"header_bytes":8192,"max_body_bytes":100000,"header_timeout_ms":3000,
            "idle_timeout_ms":15000},
            "tenants":[{"name":"team-1","api_keys":["key-1"]}]}""";

    private static final String WHOLE_STREAM =
            "id: 0\ndata: one\n\nid: 1\ndata: two\n\nid: 2\ndata: three\n\n";

    /** More than a gateway buffers before it forwards a response. */
    private static final String LARGE_BODY = "0123456789abcdef".repeat(32 << 10);

    private final Set<String> mStartedRequests = ConcurrentHashMap.newKeySet();
    private StoreStandIn mStore;
    private ScriptedUpstream mUpstream;
    private ProcessHarness mHarness;
    private TestGateway mGateway;

    @BeforeClass
    public void start() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        mUpstream = new ScriptedUpstream(this::script);
        for (String id : new String[] {"engine-1", "engine-2"}) {
            mStore.put(StoreStandIn.UPSTREAM_TOPIC, id, mUpstream.announcement("engines"));
        }
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "config", CONFIG);
        mHarness = new ProcessHarness();
        mGateway = TestGateway.start(mHarness, "gateway-1", mStore.address());
        // A gateway that has just started may make one retry for five first calls.
        for (int i = 0; i < 20; i++) {
            assertEquals(mGateway.postWithKey("/safe/whole", "earlier-" + i).statusCode(), 200);
        }
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        mHarness.close();
        mStore.close();
        mUpstream.close();
    }

    private ResponseScript script(ScriptedUpstream.Request request) {
        boolean isFirstRun = mStartedRequests.add(request.id());
        String body = bodyOf(request);
        String part = body.substring(0, body.length() * 3 / 4);
        boolean isBroken = isFirstRun && !request.path().endsWith("/whole");
        return response(request, isBroken ? part : body, isBroken);
    }

    private static String bodyOf(ScriptedUpstream.Request request) {
        if (request.path().startsWith("/safe/")) {
            return LARGE_BODY;
        }
        String last = request.headers().getOrDefault("last-event-id", "");
        int start =
                last.isEmpty() ? 0 : WHOLE_STREAM.indexOf("id: " + (Integer.parseInt(last) + 1));
        return WHOLE_STREAM.substring(start);
    }

    /** A part of the body ends as {@code /closed} or {@code /reset} at the end of the path says. */
    private static ResponseScript response(
            ScriptedUpstream.Request request, String body, boolean isBroken) {
        boolean isStream = !request.path().startsWith("/safe/");
        String head =
                """
                HTTP/1.1 200 OK\r
                X-Boragethread-Request-Id: %s\r
                X-Boragethread-Response-Seal: seal\r
                Connection: close\r
                %s\r
                \r
                """
                        .formatted(
                                request.id(),
                                isStream
                                        ? "Content-Type: text/event-stream"
                                        : "Content-Length: " + LARGE_BODY.length());
        Ending ending = isBroken && request.path().endsWith("/reset") ? Ending.RESET : Ending.CLOSE;
        return new ResponseScript(
                (head + body).getBytes(StandardCharsets.US_ASCII), Optional.empty(), ending);
    }

    @Test
    public void streamClosedInsideEventContinuesAtAnotherUpstream() throws Exception {
        assertEquals(mGateway.postWithKey("/stream/closed", "id-1").body(), WHOLE_STREAM);
    }

    @Test
    public void streamResetInsideEventContinuesAtAnotherUpstream() throws Exception {
        assertEquals(mGateway.postWithKey("/stream/reset", "id-2").body(), WHOLE_STREAM);
    }

    /** HTTP/1.0 has no chunks; without a length only the end of the connection ends the body. */
    @Test
    public void callerWithoutChunksReceivesWholeStreamAndEndOfConnection() throws Exception {
        String response = postWithHttp10("/stream/whole", "id-4");
        assertTrue(response.startsWith("HTTP/1.1 200 "), response);
        assertTrue(response.endsWith("\r\n\r\n" + WHOLE_STREAM), response);
    }

    /** To a caller without chunks a closed connection made a broken stream look complete. */
    @Test
    public void brokenStreamResetsConnectionOfCallerWithoutChunks() {
        expectThrows(SocketException.class, () -> postWithHttp10("/pinned/closed", "id-5"));
    }

    private String postWithHttp10(String path, String id) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", mGateway.port())) {
            String request =
                    """
                    POST %s HTTP/1.0\r
                    Host: 127.0.0.1\r
                    Authorization: Token key-1\r
                    X-Boragethread-Request-Id: %s\r
                    Content-Length: 0\r
                    \r
                    """
                            .formatted(path, id);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    /** A body that broke off after its start was sent was continued with the whole body again. */
    @Test
    public void partsOfTwoRunsAreNotJoinedOutsideEventStreams() {
        expectThrows(IOException.class, () -> mGateway.postWithKey("/safe/closed", "id-3"));
    }
}
