package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.boragethread.standins.HttpCalls;
import org.boragethread.standins.harness.Await;
import org.boragethread.standins.harness.ConfigDocuments.Change;
import org.boragethread.standins.harness.Deployment;
import org.boragethread.standins.http.Json;
import org.boragethread.standins.upstream.Upstream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that accepted jobs end exactly once, whichever entries run them. */
public final class JobTest {

    private static final String SETTINGS =
            """
            [jobs]
            lease_ms = 1500
            """;
    private static final double SLOW_FACTOR = 600;
    private static final double VERY_SLOW_FACTOR = 10_000;
    private static final Duration TIMEOUT = Duration.ofSeconds(40);

    private Deployment mDeployment;

    @BeforeMethod
    public void start() throws IOException {
        mDeployment = Deployment.start(TestDeployments.standard(SETTINGS).build());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        if (mDeployment != null) {
            mDeployment.close();
        }
    }

    @Test
    public void submissionReturnsLocationAndJobHasResult() throws Exception {
        HttpResponse<String> accepted = submit(0, "span 1");
        assertEquals(accepted.statusCode(), 202, accepted.body());
        String job = Json.parseTree(bytes(accepted.body())).path("job").asText();
        assertEquals(accepted.headers().firstValue("Location").orElse(""), "/v1/jobs/" + job);
        awaitStatus(1, job, "finished");
        assertEquals(job(1, job).path("result").path("status").asInt(), 200);
        assertEquals(ExecutedOrders.of(mDeployment).size(), 1);
    }

    @Test
    public void repeatedSubmissionReturnsFirstJob() throws Exception {
        String first = idOf(submit(0, "span 2", "Idempotency-Key", "job-key"));
        String second = idOf(submit(1, "span 2", "Idempotency-Key", "job-key"));
        assertEquals(second, first);
        awaitStatus(0, first, "finished");
        assertEquals(ExecutedOrders.of(mDeployment).size(), 1);
    }

    @Test
    public void jobsOfTeamAreListed() throws Exception {
        String job = idOf(submit(0, "span 3"));
        awaitStatus(1, job, "finished");
        JsonNode jobs =
                Json.parseTree(bytes(calls(1).get("/v1/jobs?team=" + TestDeployments.TEAM).body()))
                        .path("jobs");
        assertEquals(jobs.size(), 1);
        assertEquals(jobs.get(0).path("job").asText(), job);
    }

    @Test
    public void metricsShowJobs() throws Exception {
        String job = idOf(submit(0, "span 7"));
        awaitStatus(0, job, "finished");
        String metrics = calls(0).get("/metrics").body();
        assertTrue(metrics.contains("boragethread_entry_jobs{status=\"finished\"} 1.0"), metrics);
        assertTrue(metrics.contains("boragethread_entry_jobs_accepted_total 1.0"), metrics);
        assertTrue(metrics.contains("boragethread_entry_jobs_running_here 0.0"), metrics);
    }

    @Test
    public void cancelledJobDoesNotFinish() throws Exception {
        slowDown(VERY_SLOW_FACTOR);
        String job = idOf(submit(0, "span 4"));
        HttpRequest cancel = calls(1).request("/v1/jobs/" + job).DELETE().build();
        HttpResponse<String> answer =
                HttpClient.newHttpClient().send(cancel, BodyHandlers.ofString());
        assertEquals(answer.statusCode(), 200, answer.body());
        awaitStatus(0, job, "cancelled");
    }

    @Test
    public void jobOfKilledEntryEndsOnceAtTheOther() throws Exception {
        slowDown(SLOW_FACTOR);
        String job = idOf(submit(0, "span 5"));
        Await.until("the order runs", TIMEOUT, () -> ExecutedOrders.of(mDeployment).size() == 1);
        int running = runningEntry();
        mDeployment.entries().get(running).process().kill();
        awaitStatus(1 - running, job, "finished");
        assertEquals(ExecutedOrders.of(mDeployment).size(), 1);
    }

    @Test
    public void jobOfRestartedAgentIsHeldUntilAnOperatorSettlesIt() throws Exception {
        slowDown(VERY_SLOW_FACTOR);
        String job = idOf(submit(0, "span 6"));
        Await.until("the order runs", TIMEOUT, () -> ExecutedOrders.of(mDeployment).size() == 1);
        String upstream =
                mDeployment.upstream("orders-1").ledger().isEmpty() ? "orders-2" : "orders-1";
        mDeployment.agent(upstream).process().kill();
        mDeployment.agent(upstream).process().awaitExit(TIMEOUT);
        mDeployment.restartAgent(upstream);
        awaitStatus(1, job, "held");
        SettleJob settle = new SettleJob("settle-job", job, "ran");
        mDeployment.entries().get(1).operator().apply(List.of(settle), false);
        awaitStatus(0, job, "finished");
        assertEquals(ExecutedOrders.of(mDeployment).size(), 1);
    }

    /** The change by which an operator states the outcome of a held job. */
    private record SettleJob(String kind, String job, String outcome) implements Change {}

    private void slowDown(double factor) {
        for (Upstream upstream : mDeployment.upstreams()) {
            upstream.setFaults(upstream.faults().withSlowFactor(factor));
        }
    }

    /** Returns the index of the entry that runs a job. */
    private int runningEntry() {
        int first = runningAt(0);
        assertTrue(first + runningAt(1) == 1, "one entry runs the job");
        return first == 1 ? 0 : 1;
    }

    private int runningAt(int entry) {
        JsonNode status = mDeployment.entries().get(entry).operator().status();
        return status.path("kept").path("jobsHere").asInt();
    }

    private void awaitStatus(int entry, String job, String status) {
        Await.until(
                "job is " + status,
                TIMEOUT,
                () -> job(entry, job).path("status").asText().equals(status));
    }

    private JsonNode job(int entry, String job) {
        try {
            return Json.parseTree(bytes(calls(entry).get("/v1/jobs/" + job).body()));
        } catch (IOException e) {
            throw new IllegalStateException("entry " + entry + " cannot be called", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    private HttpResponse<String> submit(int entry, String body, String... headers)
            throws Exception {
        String[] allHeaders = new String[headers.length + 2];
        System.arraycopy(headers, 0, allHeaders, 2, headers.length);
        allHeaders[0] = "Team";
        allHeaders[1] = TestDeployments.TEAM;
        String path = "/v1/pipelines/" + TestDeployments.CUT_ORDER + "/jobs";
        return calls(entry).post(path, body, allHeaders);
    }

    private static String idOf(HttpResponse<String> accepted) {
        assertEquals(accepted.statusCode(), 202, accepted.body());
        return Json.parseTree(bytes(accepted.body())).path("job").asText();
    }

    private HttpCalls calls(int entry) {
        return new HttpCalls(mDeployment.callerAddresses().get(entry));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
