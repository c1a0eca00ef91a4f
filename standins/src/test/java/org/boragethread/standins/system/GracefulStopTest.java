package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.boragethread.standins.caller.CallerClient;
import org.boragethread.standins.caller.CallerRequest;
import org.boragethread.standins.caller.CallerResponse;
import org.boragethread.standins.harness.Deployment;
import org.boragethread.standins.harness.JavaProcess;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a stop signal under load aborts no request and that the exit code is 0. */
public final class GracefulStopTest {

    private static final Duration EXIT_TIMEOUT = Duration.ofSeconds(30);
    private static final int REQUESTS = 600;
    private static final int STOP_AT_REQUEST = 200;
    private static final int MAX_IN_FLIGHT = 16;
    private static final long DEADLINE_MS = 5000;

    private Deployment mDeployment;
    private CallerClient mClient;

    @BeforeMethod
    public void start() throws IOException {
        mClient = new CallerClient();
        mDeployment = Deployment.start(TestDeployments.standard().build());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        if (mDeployment != null) {
            mDeployment.close();
        }
    }

    @Test
    public void agentStopsWithoutAbortingRequests() throws Exception {
        JavaProcess agent = mDeployment.agent("encode-1").process();
        String entry = mDeployment.callerAddresses().get(0);
        checkAll(sendAll(() -> entry, agent));
        assertEquals(agent.awaitExit(EXIT_TIMEOUT), 0);
    }

    @Test
    public void entryStopsWithoutAbortingRequests() throws Exception {
        JavaProcess entry = mDeployment.entries().get(0).process();
        List<String> addresses = mDeployment.callerAddresses();
        boolean[] stopped = {false};
        EntryChooser chooser = () -> addresses.get(stopped[0] ? 1 : 0);
        List<CompletableFuture<CallerResponse>> answers = new ArrayList<>();
        Semaphore permits = new Semaphore(MAX_IN_FLIGHT);
        for (int i = 0; i < REQUESTS; i++) {
            if (i == STOP_AT_REQUEST) {
                entry.terminate();
                stopped[0] = true;
            }
            answers.add(send(chooser.next(), i, permits));
        }
        checkAll(answers);
        assertEquals(entry.awaitExit(EXIT_TIMEOUT), 0);
    }

    private List<CompletableFuture<CallerResponse>> sendAll(
            EntryChooser chooser, JavaProcess stopped) throws InterruptedException {
        List<CompletableFuture<CallerResponse>> answers = new ArrayList<>();
        Semaphore permits = new Semaphore(MAX_IN_FLIGHT);
        for (int i = 0; i < REQUESTS; i++) {
            if (i == STOP_AT_REQUEST) {
                stopped.terminate();
            }
            answers.add(send(chooser.next(), i, permits));
        }
        return answers;
    }

    private CompletableFuture<CallerResponse> send(String entry, int number, Semaphore permits)
            throws InterruptedException {
        permits.tryAcquire(30, TimeUnit.SECONDS);
        byte[] body = body(number);
        boolean summary = number % 4 == 0;
        String pipeline = summary ? TestDeployments.SUMMARY : TestDeployments.LOOKUP;
        CallerRequest request = CallerRequest.of(pipeline, TestDeployments.TEAM, body, DEADLINE_MS);
        return mClient.call(entry, summary ? request.asStream() : request)
                .whenComplete((answer, failure) -> permits.release());
    }

    private static void checkAll(List<CompletableFuture<CallerResponse>> answers) throws Exception {
        List<String> faults = new ArrayList<>();
        for (int i = 0; i < answers.size(); i++) {
            CallerResponse answer = answers.get(i).get(30, TimeUnit.SECONDS);
            if (answer.status() != 200) {
                faults.add(answer.text());
                continue;
            }
            var expected =
                    i % 4 == 0 ? TestDeployments.SUMMARY_ANSWER : TestDeployments.LOOKUP_ANSWER;
            expected.mismatch(answer, body(i)).ifPresent(faults::add);
        }
        assertEquals(faults, List.of());
    }

    private static byte[] body(int number) {
        return ("request " + number).getBytes(StandardCharsets.UTF_8);
    }

    /** Chooses the entry of the next request, as the platform's load balancer does. */
    private interface EntryChooser {
        String next();
    }
}
