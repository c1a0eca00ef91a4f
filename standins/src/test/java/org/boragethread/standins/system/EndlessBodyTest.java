package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.StoreStandIn;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests responses of an upstream in trouble whose body has no end. */
public class EndlessBodyTest {

    private static final int ROUTE_TIMEOUT_MILLIS = 5000;

    /** Far less than the heap of a gateway. */
    private static final long MAX_SENT_BYTES = 16L << 20;

    /** Fast enough to fill a gateway's heap in time, slow enough for the client of the test. */
    private static final Duration PART_PAUSE = Duration.ofMillis(1);

    private static final int PART_BYTES = 32 << 10;

    private static final String CONFIG =
            """
            {"version":1,"routes":[
            {"name":"unsafe","hostname":"127.0.0.1","path_prefix":"/unsafe/","kind":"unsafe",
             "timeout_ms":%d,"target_latency_ms":400,"service":"engines","max_attempts":1}],
            "services":[{"name":"engines","max_conns":100}],
            "tenants":[{"name":"team-1","api_keys":["key-1"]}]}"""
                    .formatted(ROUTE_TIMEOUT_MILLIS);

    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final AtomicLong mSentBytes = new AtomicLong();
    private StoreStandIn mStore;
    private ServerSocket mEngine;
    private ProcessHarness mHarness;
    private TestGateway mGateway;

    @BeforeClass
    public void start() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        mEngine = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        mThreads.execute(this::accept);
        mStore.put(
                StoreStandIn.UPSTREAM_TOPIC,
                "engine-1",
                """
                {"service":"engines","address":"127.0.0.1:%d","zone":"north","state":"ready",
                 "version":"v1","slots":64,"cold_left_ms":0,"seq":1}"""
                        .formatted(mEngine.getLocalPort()));
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "config", CONFIG);
        mHarness = new ProcessHarness();
        mGateway = TestGateway.start(mHarness, "gateway-1", mStore.address());
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        mHarness.close();
        mStore.close();
        mEngine.close();
        mThreads.shutdownNow();
    }

    private void accept() {
        while (!mEngine.isClosed()) {
            try {
                Socket connection = mEngine.accept();
                mThreads.execute(() -> serve(connection));
            } catch (IOException e) {
                // The test closes the socket to stop this thread.
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    connection.getInputStream(), StandardCharsets.US_ASCII));
            String path = reader.readLine().split(" ")[1];
            String id = "";
            for (String line = reader.readLine(); !line.isEmpty(); line = reader.readLine()) {
                if (line.toLowerCase(Locale.ROOT).startsWith("x-boragethread-request-id:")) {
                    id = line.substring(line.indexOf(':') + 1).strip();
                }
            }
            respond(connection.getOutputStream(), path, id);
        } catch (IOException e) {
            // The gateway has closed the connection; the test checks what its caller received.
        }
    }

    private void respond(OutputStream output, String path, String id) throws IOException {
        String[] kind = path.substring(path.lastIndexOf('/') + 1).split("-");
        boolean endless = kind[1].equals("endless");
        write(
                output,
                """
                HTTP/1.1 %s Status\r
                X-Boragethread-Request-Id: %s\r
                X-Boragethread-Response-Seal: seal\r
                Connection: close\r
                %s\r
                \r
                """
                        .formatted(kind[0], id, endless ? "X-No: length" : "Content-Length: 2"));
        write(output, "ok");
        byte[] part = new byte[PART_BYTES];
        while (endless) {
            output.write(part);
            mSentBytes.addAndGet(part.length);
            LockSupport.parkNanos(PART_PAUSE.toNanos());
        }
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.US_ASCII));
        output.flush();
    }

    // Guards against a failure of an upstream that fills the memory and keeps its caller waiting.
    @Test
    public void callerIsToldAtOnceWhenAFailureHasNoEnd() throws Exception {
        mSentBytes.set(0);
        long start = System.nanoTime();
        HttpResponse<String> answer = mGateway.postWithKey("/unsafe/500-endless", "id-1");
        long millis = Duration.ofNanos(System.nanoTime() - start).toMillis();
        assertEquals(answer.statusCode(), 502);
        assertTrue(answer.body().contains("\"ran\":\"unknown\""), answer.body());
        assertTrue(millis < ROUTE_TIMEOUT_MILLIS / 2, millis + " ms");
        assertTrue(mSentBytes.get() < MAX_SENT_BYTES, mSentBytes + " bytes read");
    }

    @DataProvider
    private static Object[] statuses() {
        return new Object[] {"200", "404", "500"};
    }

    // Guards against other requests that suffer from a response without end.
    @Test(dataProvider = "statuses")
    public void otherRequestsAreServedBeside(String status) throws Exception {
        CompletableFuture<Integer> endless =
                CompletableFuture.supplyAsync(() -> statusOf("/unsafe/" + status + "-endless"));
        for (int i = 0; !endless.isDone(); i++) {
            String id = "beside-" + status + "-" + i;
            assertEquals(mGateway.postWithKey("/unsafe/200-whole", id).body(), "ok");
        }
        assertEquals(endless.join().intValue(), status.equals("500") ? 502 : 0);
        assertEquals(mGateway.readiness(), 200);
    }

    /** Returns the status of a response, or 0 if it was cut off. */
    private int statusOf(String path) {
        try {
            return mGateway.postWithKey(path, "endless-" + path.hashCode()).statusCode();
        } catch (IOException e) {
            return 0;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
