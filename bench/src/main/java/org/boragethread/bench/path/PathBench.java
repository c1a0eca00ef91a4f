package org.boragethread.bench.path;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.LongAdder;
import org.boragethread.bench.client.ClosedLoop;
import org.boragethread.bench.client.OpenLoop;
import org.boragethread.bench.client.TimedAnswer;
import org.boragethread.bench.client.TimedClient;
import org.boragethread.bench.report.Percentiles;
import org.boragethread.bench.report.Report;
import org.boragethread.bench.report.Target;
import org.boragethread.standins.caller.ExpectedResponse;
import org.boragethread.standins.harness.Deployment;
import org.boragethread.standins.harness.JavaProcess;

/** Compares requests through an entry with direct calls to the stand-ins, in alternating rounds. */
public final class PathBench {

    private static final double MAX_ADDED_REQUEST_P95_MS = 5;
    private static final double MAX_ADDED_TOKEN_P95_MS = 1;
    private static final double MIN_REQUESTS_PER_SECOND = 5000;
    private static final double MICROS_PER_SECOND = 1e6;

    private final PathSettings mSettings;
    private final Report mReport;
    private final TimedClient mClient = new TimedClient();
    private final LongAdder mBadAnswers = new LongAdder();

    /** Creates a measurement that adds its results to a report. */
    public PathBench(PathSettings settings, Report report) {
        mSettings = settings;
        mReport = report;
    }

    /**
     * Measures latency and throughput.
     *
     * @throws IOException if the deployment cannot be started
     * @throws InterruptedException if this thread is interrupted
     */
    public void run() throws IOException, InterruptedException {
        try (Deployment deployment = PathDeployment.start()) {
            measureLatency(deployment);
            measureThroughput(deployment);
        }
    }

    private void measureLatency(Deployment deployment) {
        Latencies direct = new Latencies();
        Latencies viaEntry = new Latencies();
        runRound(deployment, new Latencies(), new Latencies(), 0);
        mBadAnswers.reset();
        for (int i = 1; i <= mSettings.rounds(); i++) {
            runRound(deployment, direct, viaEntry, i);
        }
        Percentiles directRequests =
                mReport.add(Percentiles.of("4 stages direct", direct.requests()));
        Percentiles entryRequests =
                mReport.add(Percentiles.of("4 stages through entry", viaEntry.requests()));
        Percentiles addedRequest =
                mReport.add(entryRequests.minus(directRequests, "4 stages added"));
        Percentiles directGaps =
                mReport.add(Percentiles.of("token gap direct", direct.tokenGaps()));
        Percentiles entryGaps =
                mReport.add(Percentiles.of("token gap through entry", viaEntry.tokenGaps()));
        Percentiles addedGap = mReport.add(entryGaps.minus(directGaps, "token gap added"));
        mReport.addTarget(
                Target.atMost(
                        "path-added-request-p95-ms", addedRequest.p95(), MAX_ADDED_REQUEST_P95_MS));
        mReport.addTarget(
                Target.atMost("path-added-token-p95-ms", addedGap.p95(), MAX_ADDED_TOKEN_P95_MS));
        mReport.addTarget(Target.atMost("path-bad-answers", mBadAnswers.sum(), 0));
    }

    private void runRound(Deployment deployment, Latencies direct, Latencies viaEntry, int round) {
        String entry = deployment.callerAddresses().get(0);
        Duration slice = mSettings.slice();
        new OpenLoop(mSettings.perSecond(), slice, mSettings.seed() + round)
                .run((number, start) -> callDirectly(deployment, number, start, direct));
        new OpenLoop(mSettings.perSecond(), slice, mSettings.seed() + round)
                .run((number, start) -> callEntry(entry, number, start, viaEntry));
    }

    private CompletableFuture<?> callDirectly(
            Deployment deployment, int number, long start, Latencies latencies) {
        String id = "direct-" + number;
        byte[] body = body(number);
        CompletableFuture<byte[]> input = CompletableFuture.completedFuture(body);
        for (String stage : PathDeployment.PLAIN_STAGES) {
            input =
                    input.thenCompose(bytes -> callStage(deployment, stage, id, bytes))
                            .thenApply(timed -> timed.answer().body());
        }
        return input.thenCompose(
                        bytes -> callStage(deployment, PathDeployment.ENGINE_STAGE, id, bytes))
                .whenComplete((timed, failure) -> record(timed, body, start, latencies));
    }

    private CompletableFuture<TimedAnswer> callStage(
            Deployment deployment, String stage, String id, byte[] body) {
        String address = deployment.upstream(stage).address();
        return mClient.post(address, "/" + stage, body, Map.of("Request-Id", id));
    }

    private CompletableFuture<?> callEntry(
            String entry, int number, long start, Latencies latencies) {
        byte[] body = body(number);
        Map<String, String> headers =
                Map.of("Team", PathDeployment.TEAM, "Accept", "text/event-stream");
        return mClient.post(entry, "/v1/pipelines/" + PathDeployment.SUMMARY, body, headers)
                .whenComplete((timed, failure) -> record(timed, body, start, latencies));
    }

    private void record(TimedAnswer timed, byte[] body, long start, Latencies latencies) {
        if (!isGood(timed, body, PathDeployment.SUMMARY_ANSWER)) {
            mBadAnswers.increment();
            return;
        }
        latencies.addRequest(start, timed.endNanos());
        int tokens = Math.min(PathDeployment.TOKENS, timed.lineNanos().size());
        latencies.addTokenGaps(timed.lineNanos().subList(0, tokens));
    }

    private static boolean isGood(TimedAnswer timed, byte[] body, ExpectedResponse expected) {
        if (timed == null || timed.answer().status() != 200) {
            return false;
        }
        Optional<String> fault = expected.mismatch(timed.answer(), body);
        return fault.isEmpty();
    }

    private void measureThroughput(Deployment deployment) throws InterruptedException {
        JavaProcess entry = deployment.entries().get(0).process();
        String address = deployment.callerAddresses().get(0);
        runLookups(address, mSettings.slice(), new LongAdder(), new LongAdder());
        LongAdder good = new LongAdder();
        LongAdder bad = new LongAdder();
        Duration cpuBefore = entry.cpuTime();
        long start = System.nanoTime();
        runLookups(address, mSettings.slice().multipliedBy(2), good, bad);
        double seconds = (System.nanoTime() - start) / 1e9;
        Duration cpu = entry.cpuTime().minus(cpuBefore);
        double perSecond = good.sum() / seconds;
        double cpuMicros = cpu.toNanos() / 1e9 * MICROS_PER_SECOND / Math.max(1, good.sum());
        mReport.addNote(
                "one stage, one entry: %.0f requests/s, %.1f us CPU a request, %d not good"
                        .formatted(perSecond, cpuMicros, bad.sum()));
        mReport.addTarget(
                Target.atLeast("path-requests-per-second", perSecond, MIN_REQUESTS_PER_SECOND));
    }

    private void runLookups(String entry, Duration duration, LongAdder good, LongAdder bad)
            throws InterruptedException {
        Map<String, String> headers = Map.of("Team", PathDeployment.TEAM);
        String path = "/v1/pipelines/" + PathDeployment.LOOKUP;
        new ClosedLoop(mSettings.concurrency(), duration)
                .run(
                        number -> {
                            byte[] body = body(number);
                            return mClient.post(entry, path, body, headers)
                                    .whenComplete(
                                            (timed, failure) -> count(timed, body, good, bad));
                        });
    }

    private static void count(TimedAnswer timed, byte[] body, LongAdder good, LongAdder bad) {
        (isGood(timed, body, PathDeployment.LOOKUP_ANSWER) ? good : bad).increment();
    }

    private static byte[] body(int number) {
        return ("request " + number).getBytes(StandardCharsets.UTF_8);
    }
}
