package org.boragethread.standins.system;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.boragethread.standins.HttpCalls;
import org.boragethread.standins.harness.Await;
import org.boragethread.standins.harness.JavaProcess;
import org.boragethread.standins.harness.Launch;
import org.boragethread.standins.harness.ProcessHarness;

/** A gateway process on free ports with an HTTP client for it. */
final class TestGateway {

    static final Duration TIMEOUT = Duration.ofSeconds(20);

    /** Time from the signal to stop until the process must have ended. */
    static final Duration GRACE_PERIOD = Duration.ofSeconds(4);

    private static final String AUTHORIZATION = "Token key-1";

    private final JavaProcess mProcess;
    private final Path mSettings;
    private final List<Integer> mPorts;
    private final HttpCalls mCalls;
    private final HttpCalls mReadiness;

    private TestGateway(JavaProcess process, Path settings, List<Integer> ports) {
        mProcess = process;
        mSettings = settings;
        mPorts = ports;
        mCalls = new HttpCalls("127.0.0.1:" + ports.get(0));
        mReadiness = new HttpCalls("127.0.0.1:" + ports.get(1));
    }

    /** Starts a gateway and waits until it is ready. */
    static TestGateway start(ProcessHarness harness, String name, String store) throws Exception {
        return start(harness, name, store, "");
    }

    /** Starts a gateway with more tables of settings, and waits until it is ready. */
    static TestGateway start(ProcessHarness harness, String name, String store, String moreSettings)
            throws Exception {
        return start(harness, name, store, GRACE_PERIOD, moreSettings);
    }

    /** Starts a gateway with a grace period and more settings, and waits until it is ready. */
    static TestGateway start(
            ProcessHarness harness, String name, String store, Duration grace, String moreSettings)
            throws Exception {
        List<Integer> ports = freePorts();
        String settings =
                """
                [gateway]
                name = "%s"
                data_centre = "north"
                listen = "127.0.0.1:%d"
                readiness_listen = "127.0.0.1:%d"
                peer_listen = "127.0.0.1:%d"
                store = "%s"
                [data_centres]
                north = "region-1"
                [bounds]
                revoke_ms = 3000
                grace_s = %d
                """
                        .formatted(
                                name,
                                ports.get(0),
                                ports.get(1),
                                ports.get(2),
                                store,
                                grace.toSeconds());
        Path file = Files.createTempFile(name, ".toml");
        Files.writeString(file, settings + moreSettings);
        return launch(harness, name, file, ports);
    }

    /** Starts a process with the settings of this one, which has ended. */
    TestGateway startAgain(ProcessHarness harness) {
        return launch(harness, mProcess.name(), mSettings, mPorts);
    }

    private static TestGateway launch(
            ProcessHarness harness, String name, Path settings, List<Integer> ports) {
        JavaProcess process =
                harness.start(
                        Launch.of(name, "org.boragethread.entry.EntryMain")
                                .jvm("-Xmx96m", "-Dlog4j2.configurationFile=log4j2-gateway.xml")
                                .args("gateway", "--settings", settings.toString())
                                .build());
        TestGateway gateway = new TestGateway(process, settings, ports);
        Await.until(name + " is ready", TIMEOUT, () -> gateway.readiness() == 200);
        return gateway;
    }

    private static List<Integer> freePorts() throws Exception {
        try (ServerSocket a = new ServerSocket(0);
                ServerSocket b = new ServerSocket(0);
                ServerSocket c = new ServerSocket(0)) {
            return List.of(a.getLocalPort(), b.getLocalPort(), c.getLocalPort());
        }
    }

    JavaProcess process() {
        return mProcess;
    }

    /** Returns the port for callers. */
    int port() {
        return mPorts.get(0);
    }

    /** Returns the port for readiness checks. */
    int readinessPort() {
        return mPorts.get(1);
    }

    HttpCalls calls() {
        return mCalls;
    }

    /** Returns the status code of the readiness check, or 0 if there is no answer. */
    int readiness() {
        try {
            return mReadiness.get("/v1/readiness").statusCode();
        } catch (IOException e) {
            return 0;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Posts a request with the API key of the test team. */
    HttpResponse<String> postWithKey(String path, String id, String... headers) throws Exception {
        String[] allHeaders = new String[headers.length + 4];
        allHeaders[0] = "X-Boragethread-Request-Id";
        allHeaders[1] = id;
        allHeaders[2] = "Authorization";
        allHeaders[3] = AUTHORIZATION;
        System.arraycopy(headers, 0, allHeaders, 4, headers.length);
        return mCalls.post(path, "body", allHeaders);
    }

    /** Waits until a line of the log contains all of the given texts; logs are written late. */
    void awaitLogLine(String... parts) {
        Await.until("a log line with " + List.of(parts), TIMEOUT, () -> hasLogLine(parts));
    }

    /** Waits until the entry knows all runs of upstreams that began before it did. */
    void awaitSettledUpstreams() {
        Await.until(mProcess.name() + " knows upstreams", TIMEOUT, this::hasSettledUpstreams);
    }

    /** Returns whether the entry knows all runs of upstreams that began before it did. */
    boolean hasSettledUpstreams() {
        return hasLogLine("\"event\":\"upstreams\"", "\"outcome\":\"settled\"");
    }

    /** Returns whether any line of the log contains all of the given texts. */
    boolean hasLogLine(String... parts) {
        return mProcess.lines().stream()
                .anyMatch(line -> Arrays.stream(parts).allMatch(line::contains));
    }
}
