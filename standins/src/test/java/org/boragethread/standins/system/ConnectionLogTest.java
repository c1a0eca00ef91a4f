package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.StoreStandIn;
import org.boragethread.standins.system.ResponseScript.Ending;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a gateway logs how callers' connections end, with the requests concerned. */
public class ConnectionLogTest {

    private static final String CONFIG =
            """
            {"version":1,"routes":[
            {"name":"unsafe","hostname":"127.0.0.1","path_prefix":"/unsafe/","kind":"unsafe",
             "timeout_ms":60000,"target_latency_ms":400,"service":"orders","max_attempts":1}],
            "services":[{"name":"orders","max_conns":200}],
            "limits":{"header_bytes":2048,"max_body_bytes":1000,"header_timeout_ms":3000,
            "idle_timeout_ms":60000},
            "tenants":[{"name":"team-1","api_keys":["key-1"]}]}""";

    private static final String HEAD =
            """
            POST /unsafe/%s HTTP/1.1\r
            Host: 127.0.0.1\r
            Authorization: Token key-1\r
            X-Boragethread-Request-Id: %s\r
            Content-Length: %d\r
            \r
            """;

    private CountDownLatch mHeldCalls;
    private StoreStandIn mStore;
    private ScriptedUpstream mUpstream;
    private ProcessHarness mHarness;
    private TestGateway mGateway;

    @BeforeMethod
    public void start() throws Exception {
        mHeldCalls = new CountDownLatch(1);
        mStore = new StoreStandIn();
        mStore.start();
        mUpstream = new ScriptedUpstream(this::respond);
        mStore.put(StoreStandIn.UPSTREAM_TOPIC, "orders-1", mUpstream.announcement("orders"));
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "config", CONFIG);
        mHarness = new ProcessHarness();
        mGateway = TestGateway.start(mHarness, "gateway-1", mStore.address());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        mHeldCalls.countDown();
        mHarness.close();
        mStore.close();
        mUpstream.close();
    }

    /** Responds at once, or at the end of the test if the path ends with {@code /held}. */
    private ResponseScript respond(ScriptedUpstream.Request request) {
        if (request.path().endsWith("/held")) {
            try {
                mHeldCalls.await();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
        String response =
                """
                HTTP/1.1 200 OK\r
                X-Boragethread-Request-Id: %s\r
                X-Boragethread-Response-Seal: seal\r
                Content-Length: 2\r
                \r
                ok"""
                        .formatted(request.id());
        return new ResponseScript(
                response.getBytes(StandardCharsets.US_ASCII), Optional.empty(), Ending.STAY_OPEN);
    }

    private Socket connect() throws IOException {
        Socket connection = new Socket("127.0.0.1", mGateway.port());
        connection.setSoTimeout((int) TestGateway.TIMEOUT.toMillis());
        return connection;
    }

    private static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String request(String path, String id) {
        return HEAD.formatted(path, id, 4) + "body";
    }

    private static String field(String name, Object value) {
        return "\"" + name + "\":\"" + value + "\"";
    }

    private static String peer(Socket connection) {
        return field("peer", "/127.0.0.1:" + connection.getLocalPort());
    }

    /** Sends a request that is not answered, and waits until it was sent to the upstream. */
    private void sendHeldRequest(Socket connection, String id) throws IOException {
        write(connection, request("held", id));
        mGateway.awaitLogLine(field("event", "sent"), field("request", id));
    }

    // Guards against a refusal of a partly read request that can't be found by its ID or caller.
    @Test
    public void rejectionNamesTheRequestItsCallerAndWhatArrived() throws Exception {
        try (Socket connection = connect()) {
            String head = HEAD.formatted("x", "id-large", 1001);
            write(connection, head);
            mGateway.awaitLogLine(
                    field("event", "rejected"),
                    field("request", "id-large"),
                    field("reason", "body-too-large"),
                    field("receiving", "body"),
                    field("receivedBytes", head.length()),
                    field("contentLength", 1001),
                    peer(connection));
        }
    }

    // Guards against a request that times out half received without a trace of its ID.
    @Test
    public void bodyThatDoesNotArriveIsLoggedWithTheRequest() throws Exception {
        try (Socket connection = connect()) {
            write(connection, HEAD.formatted("x", "id-half", 100) + "half");
        }
        mGateway.awaitLogLine(
                field("event", "not-received"),
                field("request", "id-half"),
                field("receiving", "body"),
                field("contentLength", 100));
    }

    // Guards against idle connections that are closed without a line.
    @Test
    public void idleConnectionIsLoggedWhenItIsClosed() throws Exception {
        mStore.put(
                StoreStandIn.OPERATOR_TOPIC,
                "config",
                CONFIG.replace("60000}", "1000}").replace("\"version\":1", "\"version\":2"));
        mGateway.awaitLogLine(field("event", "config"), field("version", 2));
        try (Socket connection = connect()) {
            assertEquals(connection.getInputStream().read(), -1);
            mGateway.awaitLogLine(
                    field("event", "connections-closed"),
                    field("cause", "idle"),
                    ":" + connection.getLocalPort());
        }
    }

    // Guards against an exception of a connection whose type and request are lost.
    @Test
    public void failureOfAConnectionNamesItsCauseAndRequest() throws Exception {
        try (Socket connection = connect()) {
            sendHeldRequest(connection, "id-reset");
            connection.setSoLinger(true, 0);
        }
        mGateway.awaitLogLine(
                field("event", "connection-failed"),
                field("request", "id-reset"),
                "\"cause\":\"java.",
                "reset");
        mGateway.awaitLogLine(field("event", "cancelled"), field("request", "id-reset"));
    }

    // Guards against pipelined requests that vanish with their connection.
    @Test
    public void pipelinedRequestsThatAreDiscardedAreLogged() throws Exception {
        try (Socket connection = connect()) {
            sendHeldRequest(connection, "id-first");
            write(connection, request("x", "id-second") + request("x", "id-third"));
        }
        mGateway.awaitLogLine(
                field("event", "discarded"),
                field("request", "id-second id-third"),
                field("requests", 2));
    }

    // Guards against a stop whose lines don't tell which requests it found and which it ended.
    @Test
    public void stopNamesTheRequestsThatItFindsAndEnds() throws Exception {
        try (Socket connection = connect();
                Socket halfHead = connect()) {
            sendHeldRequest(connection, "id-held");
            write(halfHead, "POST /unsafe/x HT");
            mGateway.process().terminate();
            mGateway.awaitLogLine(
                    field("event", "stop"),
                    field("outcome", "begun"),
                    field("request", "id-held"),
                    field("requests", 1),
                    field("connections", 2));
            String response = new String(connection.getInputStream().readAllBytes());
            assertTrue(response.startsWith("HTTP/1.1 50"), response);
        }
        mGateway.awaitLogLine(
                field("event", "stop"),
                field("outcome", "requests-ended"),
                field("request", "id-held"),
                field("unanswered", ""));
        assertEquals(mGateway.process().awaitExit(TestGateway.TIMEOUT), 0);
    }

    // Guards against connections that a stop closes without a line.
    @Test
    public void stopLogsIdleConnectionsThatItCloses() throws Exception {
        try (Socket connection = connect()) {
            write(connection, request("x", "id-1"));
            mGateway.awaitLogLine(field("event", "answered"), field("request", "id-1"));
            mGateway.process().terminate();
            mGateway.awaitLogLine(
                    field("event", "connections-closed"),
                    field("cause", "stop"),
                    ":" + connection.getLocalPort());
        }
    }
}
