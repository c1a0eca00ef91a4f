package org.boragethread.standins.harness;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.regex.Pattern;
import org.boragethread.standins.HttpCalls;
import org.boragethread.standins.platform.PlatformMain;
import org.testng.annotations.Test;

/** Tests that the harness controls processes of the operating system. */
public final class ProcessHarnessTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final Pattern LISTENING = Pattern.compile("listening (\\S+)");
    private static final int EXIT_SIGTERM = 143;

    @Test
    public void processIsStartedPausedResumedAndStopped() throws Exception {
        try (ProcessHarness harness = new ProcessHarness()) {
            JavaProcess platform = harness.start(launch("--port", "0"));
            HttpCalls calls = new HttpCalls(platform.awaitLine(LISTENING, TIMEOUT));
            assertEquals(calls.get("/readyz").statusCode(), 200);
            platform.pause();
            assertThrows(HttpTimeoutException.class, () -> getWithin(calls, 200));
            platform.resume();
            assertEquals(calls.get("/readyz").statusCode(), 200);
            platform.terminate();
            assertEquals(platform.awaitExit(TIMEOUT), EXIT_SIGTERM);
        }
    }

    @Test
    public void closeStopsAllProcesses() {
        ProcessHarness harness = new ProcessHarness();
        JavaProcess platform = harness.start(launch("--port", "0"));
        platform.awaitLine(LISTENING, TIMEOUT);
        assertTrue(platform.isAlive());
        harness.close();
        assertFalse(platform.isAlive());
    }

    @Test
    public void earlyExitIsReportedWithOutput() {
        try (ProcessHarness harness = new ProcessHarness()) {
            JavaProcess platform = harness.start(launch("--nonsense"));
            IllegalStateException failure =
                    org.testng.Assert.expectThrows(
                            IllegalStateException.class,
                            () -> platform.awaitLine(LISTENING, TIMEOUT));
            assertTrue(failure.getMessage().contains("nonsense"), failure.getMessage());
            assertEquals(platform.awaitExit(TIMEOUT), 2);
        }
    }

    // Guards against a harness that does not see what a process prints while it stops.
    @Test
    public void outputAfterTheStopSignalIsRead() {
        try (ProcessHarness harness = new ProcessHarness()) {
            JavaProcess process =
                    harness.start(Launch.of("last-words", LastWords.class.getName()).build());
            process.awaitLine(Pattern.compile(LastWords.STARTED), TIMEOUT);
            process.terminate();
            Await.until(
                    "the last line is read",
                    Duration.ofSeconds(10),
                    () -> process.lines().contains(LastWords.STOPPED));
        }
    }

    /** A process that prints a line when it is asked to stop. */
    static final class LastWords {

        static final String STARTED = "started";
        static final String STOPPED = "stopped";

        /** Runs until a signal. */
        public static void main(String[] args) throws InterruptedException {
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(() -> System.out.println(STOPPED), "last-words"));
            System.out.println(STARTED);
            new CountDownLatch(1).await();
        }
    }

    private static Launch launch(String... args) {
        return Launch.of("platform", PlatformMain.class.getName())
                .jvm("-Xmx64m")
                .args(args)
                .build();
    }

    private static void getWithin(HttpCalls calls, long millis) throws Exception {
        java.net.http.HttpClient.newHttpClient()
                .send(
                        calls.request("/readyz").timeout(Duration.ofMillis(millis)).build(),
                        java.net.http.HttpResponse.BodyHandlers.discarding());
    }
}
