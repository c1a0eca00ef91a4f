package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.StoreStandIn;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests responses of upstreams that begin before the request has arrived as a whole. */
public class EarlyResponseTest {

    private static final String ROUTE =
            """
            {"name":"%1$s","hostname":"127.0.0.1","path_prefix":"/%1$s/","kind":"%1$s",
             "timeout_ms":9000,"target_latency_ms":4000,"gap_aim_ms":4000,"service":"%1$s",
             "max_attempts":1}""";

    /** More than the socket buffers of both sides hold. */
    private static final int UPLOAD_BYTES = 16 << 20;

    private static final int MAX_BODY_BYTES = 20 << 20;

    private static final String EVENT = "id: 0\ndata: one\n\n";

    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final List<ServerSocket> mUpstreams = new ArrayList<>();
    private final StreamCaller mCaller = new StreamCaller();
    private StoreStandIn mStore;
    private ProcessHarness mHarness;
    private TestGateway mGateway;

    /** How an upstream ends its response while the request is still being written. */
    private enum Ending {
        RESET("", false),
        CLOSE("", false),
        RESET_AFTER_END("", false),
        END("", true),
        END_AND_READ_ON("", true),
        LENGTH("Content-Length: " + EVENT.length() + "\r\n", true);

        final String mHeader;
        final boolean mWhole;

        Ending(String header, boolean whole) {
            mHeader = header;
            mWhole = whole;
        }
    }

    @BeforeClass
    public void start() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        List<String> routes = new ArrayList<>();
        List<String> services = new ArrayList<>();
        for (String kind : List.of("unsafe", "safe", "streaming")) {
            ServerSocket upstream = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            mUpstreams.add(upstream);
            routes.add(ROUTE.formatted(kind));
            services.add("{\"name\":\"%s\",\"max_conns\":9}".formatted(kind));
            mStore.put(
                    StoreStandIn.UPSTREAM_TOPIC,
                    kind + "-1",
                    """
                    {"service":"%s","address":"127.0.0.1:%d","zone":"north","state":"ready",
                     "version":"v1","slots":64,"cold_left_ms":0,"seq":1}"""
                            .formatted(kind, upstream.getLocalPort()));
        }
        mStore.put(
                StoreStandIn.OPERATOR_TOPIC,
                "config",
                """
                {"version":1,"routes":[%s],"services":[%s],
                 "limits":{"header_bytes":8192,"max_body_bytes":%d,"header_timeout_ms":3000,
                 "idle_timeout_ms":15000},
                 "tenants":[{"name":"team-1","api_keys":["key-1"]}]}"""
                        .formatted(
                                String.join(",", routes),
                                String.join(",", services),
                                MAX_BODY_BYTES));
        mHarness = new ProcessHarness();
        mGateway = TestGateway.start(mHarness, "gateway-1", mStore.address());
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        mHarness.close();
        mStore.close();
        for (ServerSocket upstream : mUpstreams) {
            upstream.close();
        }
        mThreads.shutdownNow();
    }

    @DataProvider
    private static Object[][] endings() {
        List<Object[]> cases = new ArrayList<>();
        for (Ending ending : Ending.values()) {
            cases.add(new Object[] {"unsafe", ending});
            cases.add(new Object[] {"safe", ending});
            cases.add(new Object[] {"streaming", ending});
        }
        return cases.toArray(new Object[0][]);
    }

    // Guards against a part of a response that a caller receives as a complete one.
    @Test(dataProvider = "endings")
    public void responseIsCompleteOnlyIfItsConnectionIsNotReset(String kind, Ending ending)
            throws Exception {
        String id = kind + "-" + ending;
        CompletableFuture<StreamCaller.Received> response =
                CompletableFuture.supplyAsync(() -> send(kind, id), mThreads);
        int index = List.of("unsafe", "safe", "streaming").indexOf(kind);
        try (Socket connection = acceptRequest(mUpstreams.get(index))) {
            respond(connection, id, ending);
            StreamCaller.Received received = response.get();
            if (ending.mWhole) {
                assertTrue(received.complete(), received.toString());
                assertEquals(received.status(), 200);
                assertEquals(received.body().strip(), EVENT.strip());
                return;
            }
            boolean failed = received.status() == 502;
            assertTrue(failed || !received.complete(), received.toString());
            assertFalse(failed && received.body().contains("data: one"), received.body());
        }
    }

    /** Accepts the next connection on which a request arrives; others check the upstream only. */
    private static Socket acceptRequest(ServerSocket upstream) throws IOException {
        Socket connection = upstream.accept();
        while (connection.getInputStream().read() < 0) {
            connection.close();
            connection = upstream.accept();
        }
        return connection;
    }

    private StreamCaller.Received send(String kind, String id) {
        try {
            return mCaller.requestWithBody(
                    mGateway, "/" + kind + "/x", id, "x".repeat(UPLOAD_BYTES));
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Responds as soon as a part of the body has arrived. */
    private void respond(Socket connection, String id, Ending ending) throws Exception {
        InputStream request = connection.getInputStream();
        request.readNBytes(UPLOAD_BYTES / 64);
        connection
                .getOutputStream()
                .write(
                        """
                        HTTP/1.1 200 OK\r
                        X-Boragethread-Request-Id: %s\r
                        X-Boragethread-Response-Seal: seal\r
                        Content-Type: text/event-stream\r
                        %s\r
                        %s"""
                                .formatted(id, ending.mHeader, EVENT)
                                .getBytes(StandardCharsets.US_ASCII));
        switch (ending) {
            case RESET -> reset(connection);
            case CLOSE -> connection.close();
            case RESET_AFTER_END -> {
                connection.shutdownOutput();
                Thread.sleep(ResponseScript.PAUSE.toMillis());
                reset(connection);
            }
            case END -> connection.shutdownOutput();
            case END_AND_READ_ON -> {
                connection.shutdownOutput();
                request.transferTo(OutputStream.nullOutputStream());
            }
            case LENGTH -> {}
            default -> throw new IllegalArgumentException(ending.name());
        }
    }

    private static void reset(Socket connection) throws IOException {
        connection.setSoLinger(true, 0);
        connection.close();
    }
}
