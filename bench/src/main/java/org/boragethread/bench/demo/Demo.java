package org.boragethread.bench.demo;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.boragethread.standins.caller.CallerClient;
import org.boragethread.standins.caller.CallerRequest;
import org.boragethread.standins.caller.CallerResponse;
import org.boragethread.standins.caller.ExpectedResponse;
import org.boragethread.standins.harness.ConfigDocuments.SetDataCentreService;
import org.boragethread.standins.harness.Deployment;
import org.boragethread.standins.harness.RunningEntry;
import org.boragethread.standins.upstream.Order;

/** Starts a deployment, sends requests of each kind, and takes a data centre out of service. */
public final class Demo {

    private static final int DEADLINE_MILLIS = 2000;
    private static final int CALLS_AFTER_DRAIN = 20;
    private static final int CALL_TIMEOUT_SECONDS = 10;
    private static final long PROPAGATION_MILLIS = 1000;

    private final Deployment mDeployment;
    private final CallerClient mClient = new CallerClient();
    private int mPassed;
    private int mFailed;

    private Demo(Deployment deployment) {
        mDeployment = deployment;
    }

    /**
     * Runs all steps of the demonstration.
     *
     * @param args {@code --keep} leaves the deployment running until the process is stopped
     */
    public static void main(String[] args) throws Exception {
        boolean keep = Arrays.asList(args).contains("--keep");
        System.out.println("starting the platform, 10 upstreams, 10 agents and 2 entries ...");
        int failed;
        try (Deployment deployment = Deployment.start(DemoDeployment.spec())) {
            Demo demo = new Demo(deployment);
            demo.run();
            failed = demo.mFailed;
            if (keep) {
                demo.printHints();
                Thread.currentThread().join();
            }
        }
        System.exit(failed == 0 ? 0 : 1);
    }

    private void run() throws Exception {
        printStep("1. a summary of four stages, its tokens streamed");
        byte[] survey = bytes("spans 14 to 18, eucalyptus within 2 m");
        CallerResponse summary = call(0, request(DemoDeployment.SUMMARY, survey).asStream());
        check("the stream is whole", DemoDeployment.SUMMARY_ANSWER, summary, survey);

        printStep("2. a lookup");
        byte[] order = bytes("order 4711");
        CallerResponse lookup = call(1, request(DemoDeployment.LOOKUP, order));
        check("the answer is whole", DemoDeployment.LOOKUP_ANSWER, lookup, order);

        printStep("3. one cut order with an idempotency key, sent through both entries");
        sendOrderTwice(bytes("cut span 14"));

        printStep(
                "4. data centre "
                        + DemoDeployment.DRAINED_DATA_CENTRE
                        + " out of service: intent, plan, confirm");
        drain();
        printSummary();
    }

    private void sendOrderTwice(byte[] body) throws Exception {
        CallerRequest request = request(DemoDeployment.CUT_ORDER, body).withKey("cut-span-14");
        CallerResponse first = call(0, request);
        CallerResponse second = call(1, request);
        printNote("first entry answers " + first.status() + ", second " + second.status());
        report(
                "both answers are good and equal",
                first.status() == 200 && Arrays.equals(first.body(), second.body()));
        report("the order ran once", executedOrders() == 1);
    }

    private long executedOrders() {
        List<Order> ledger =
                mDeployment.upstreams().stream()
                        .flatMap(upstream -> upstream.ledger().stream())
                        .toList();
        return ledger.size();
    }

    private void drain() throws Exception {
        RunningEntry entry = mDeployment.entries().get(0);
        long revision =
                entry.operator()
                        .apply(
                                List.of(
                                        new SetDataCentreService(
                                                DemoDeployment.DRAINED_DATA_CENTRE, "out")),
                                false);
        printNote("in force at revision " + revision);
        Thread.sleep(PROPAGATION_MILLIS);
        long before = callsIn(DemoDeployment.DRAINED_DATA_CENTRE);
        int complete = 0;
        for (int i = 0; i < CALLS_AFTER_DRAIN; i++) {
            byte[] body = bytes("order " + i);
            CallerResponse answer = call(i % 2, request(DemoDeployment.LOOKUP, body));
            complete += DemoDeployment.LOOKUP_ANSWER.mismatch(answer, body).isEmpty() ? 1 : 0;
        }
        report(
                "%d of %d lookups are answered".formatted(complete, CALLS_AFTER_DRAIN),
                complete == CALLS_AFTER_DRAIN);
        report(
                "no call reached " + DemoDeployment.DRAINED_DATA_CENTRE,
                callsIn(DemoDeployment.DRAINED_DATA_CENTRE) == before);
    }

    private long callsIn(String dataCentre) {
        return mDeployment.upstreams().stream()
                .filter(upstream -> upstream.name().endsWith(dataCentre))
                .mapToLong(upstream -> upstream.stats().calls())
                .sum();
    }

    private CallerResponse call(int entry, CallerRequest request)
            throws InterruptedException, ExecutionException, TimeoutException {
        String address = mDeployment.callerAddresses().get(entry);
        return mClient.call(address, request).get(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static CallerRequest request(String pipeline, byte[] body) {
        return CallerRequest.of(pipeline, DemoDeployment.TEAM, body, DEADLINE_MILLIS);
    }

    private void check(String what, ExpectedResponse expected, CallerResponse answer, byte[] body) {
        Optional<String> fault = expected.mismatch(answer, body);
        fault.ifPresent(this::printNote);
        report(what + " (%d bytes)".formatted(answer.body().length), fault.isEmpty());
    }

    private void report(String what, boolean passed) {
        System.out.printf("   %s %s%n", passed ? "ok  " : "FAIL", what);
        if (passed) {
            mPassed++;
        } else {
            mFailed++;
        }
    }

    private void printNote(String text) {
        System.out.println("        " + text);
    }

    private static void printStep(String title) {
        System.out.println(title);
    }

    private void printSummary() {
        System.out.printf("summary: %d checks good, %d bad%n", mPassed, mFailed);
    }

    private void printHints() {
        RunningEntry entry = mDeployment.entries().get(0);
        System.out.printf(
                "%nthe deployment keeps running; Ctrl-C ends it. Try:%n"
                        + "  curl -N -H 'Team: %s' -H 'Accept: text/event-stream' -d 'span 14' http://%s/v1/pipelines/%s%n"
                        + "  curl -H 'Team: %s' -d 'order 7' http://%s/v1/pipelines/%s%n"
                        + "  curl http://%s/metrics%n"
                        + "  bin/boragethread-entry status --entry %s --token %s%n",
                DemoDeployment.TEAM,
                entry.callers(),
                DemoDeployment.SUMMARY,
                DemoDeployment.TEAM,
                entry.callers(),
                DemoDeployment.LOOKUP,
                entry.callers(),
                entry.operators(),
                Deployment.OPERATOR_TOKEN);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
