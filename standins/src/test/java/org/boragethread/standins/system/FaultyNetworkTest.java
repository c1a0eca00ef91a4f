package org.boragethread.standins.system;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.boragethread.standins.caller.CallerClient;
import org.boragethread.standins.caller.CallerRequest;
import org.boragethread.standins.caller.CallerResponse;
import org.boragethread.standins.harness.Deployment;
import org.boragethread.standins.harness.RunningAgent;
import org.boragethread.standins.proxy.ConnectionFaults;
import org.boragethread.standins.proxy.Fault;
import org.boragethread.standins.proxy.FaultPlan;
import org.boragethread.standins.proxy.FaultProxy;
import org.boragethread.standins.proxy.Faults;
import org.boragethread.standins.upstream.Order;
import org.boragethread.standins.upstream.StageOutput;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that with faults on every connection each answer is complete and belongs to its request,
 * and that a failure never reports a wrong outcome.
 */
public final class FaultyNetworkTest {

    private static final long SEED = 20_261;
    private static final int REQUESTS = 3000;
    private static final int MAX_IN_FLIGHT = 48;
    private static final int CUT_INTERVAL = 100;
    private static final long DEADLINE_MS = 1500;
    private static final int NO_FAULT_WEIGHT = 5;
    private static final int MAX_FAULT_POSITION = 20_000;
    private static final double MIN_GOOD_SHARE = 0.25;

    private Deployment mDeployment;
    private CallerClient mClient;
    private SplittableRandom mRandom;

    @BeforeMethod
    public void start() throws IOException {
        mClient = new CallerClient();
        mRandom = new SplittableRandom(SEED);
        mDeployment = Deployment.start(TestDeployments.standard().proxied(SEED).build());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        if (mDeployment != null) {
            mDeployment.close();
        }
    }

    @Test
    public void noAnswerIsLostDuplicatedOrSwapped() throws Exception {
        proxies().forEach(proxy -> proxy.setFaultPlan(randomPlan()));
        List<Call> calls = sendAll();
        List<String> faults = new ArrayList<>();
        int good = 0;
        for (Call call : calls) {
            Optional<String> fault = call.fault();
            fault.ifPresent(faults::add);
            good += fault.isEmpty() && call.answer().get().status() == 200 ? 1 : 0;
        }
        checkLedger(calls, faults);
        assertTrue(faults.isEmpty(), String.join("\n", faults));
        assertTrue(good > REQUESTS * MIN_GOOD_SHARE, "good answers: " + good);
    }

    private List<Call> sendAll() throws Exception {
        List<FaultProxy> proxies = proxies();
        Semaphore permits = new Semaphore(MAX_IN_FLIGHT);
        List<Call> calls = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            if (i % CUT_INTERVAL == 0) {
                proxies.get(mRandom.nextInt(proxies.size())).closeConnections();
            }
            assertTrue(permits.tryAcquire(30, TimeUnit.SECONDS), "no answer for 30 s");
            Call call = send(i);
            call.answer().whenComplete((answer, failure) -> permits.release());
            calls.add(call);
        }
        return calls;
    }

    private Call send(int number) {
        byte[] body = ("request " + number).getBytes(StandardCharsets.UTF_8);
        Kind kind = Kind.values()[mRandom.nextInt(Kind.values().length)];
        CallerRequest request =
                CallerRequest.of(kind.pipeline(), TestDeployments.TEAM, body, DEADLINE_MS);
        if (kind == Kind.SUMMARY) {
            request = request.asStream();
        }
        String entry = mDeployment.callerAddresses().get(number % 2);
        return new Call(kind, body, mClient.call(entry, request));
    }

    private void checkLedger(List<Call> calls, List<String> faults) throws Exception {
        Set<String> executed = new HashSet<>();
        for (Order order : ExecutedOrders.of(mDeployment)) {
            if (!executed.add(order.bodyHash())) {
                faults.add("order ran twice: " + order);
            }
        }
        for (Call call : calls) {
            if (call.kind() != Kind.CUT_ORDER || call.answer().isCompletedExceptionally()) {
                continue;
            }
            CallerResponse answer = call.answer().get();
            boolean ran = executed.contains(StageOutput.sha256Hex(call.body()));
            if (answer.status() == 200 && !ran) {
                faults.add("answered as run but not executed: " + answer.text());
            }
            if (ran && "no".equals(answer.problem("ran"))) {
                faults.add("answered as not run but executed: " + answer.text());
            }
        }
    }

    private List<FaultProxy> proxies() {
        List<FaultProxy> proxies = new ArrayList<>();
        for (RunningAgent agent : mDeployment.agents()) {
            agent.fromEntries().ifPresent(proxies::add);
            agent.toUpstream().ifPresent(proxies::add);
        }
        return proxies;
    }

    private static FaultPlan randomPlan() {
        return random -> new ConnectionFaults(randomFault(random), randomFault(random));
    }

    private static Fault randomFault(SplittableRandom random) {
        long position = random.nextInt(MAX_FAULT_POSITION);
        return switch (random.nextInt(10 + NO_FAULT_WEIGHT)) {
            case 0 -> Faults.closeAfter(position);
            case 1 -> Faults.resetAfter(position);
            case 2 -> Faults.halfCloseAfter(position);
            case 3 -> Faults.blackHoleAfter(position);
            case 4, 5 -> Faults.trickle(64, Duration.ofMillis(1));
            case 6, 7, 8, 9 -> Faults.delay(Duration.ofMillis(random.nextInt(1, 60)));
            default -> Faults.none();
        };
    }

    /** Pipelines under test, each with its expected answer. */
    private enum Kind {
        LOOKUP,
        SUMMARY,
        CUT_ORDER;

        String pipeline() {
            return switch (this) {
                case LOOKUP -> TestDeployments.LOOKUP;
                case SUMMARY -> TestDeployments.SUMMARY;
                case CUT_ORDER -> TestDeployments.CUT_ORDER;
            };
        }

        Optional<String> fault(CallerResponse answer, byte[] body) {
            return switch (this) {
                case LOOKUP -> TestDeployments.LOOKUP_ANSWER.mismatch(answer, body);
                case SUMMARY -> summaryFault(answer, body);
                case CUT_ORDER -> TestDeployments.ORDER_ANSWER.mismatch(answer, body);
            };
        }

        private static Optional<String> summaryFault(CallerResponse answer, byte[] body) {
            if (answer.text().contains("event: error")) {
                return Optional.empty();
            }
            return TestDeployments.SUMMARY_ANSWER.mismatch(answer, body);
        }
    }

    /** One request of the run. */
    private record Call(Kind kind, byte[] body, CompletableFuture<CallerResponse> answer) {

        /**
         * Returns the fault of the answer: missing, incomplete, wrong or without problem details.
         */
        Optional<String> fault() throws InterruptedException {
            try {
                CallerResponse received = answer.get();
                if (received.status() == 200) {
                    return kind.fault(received, body);
                }
                return received.isProblem()
                        ? Optional.empty()
                        : Optional.of(
                                "status %d: %s".formatted(received.status(), received.text()));
            } catch (ExecutionException e) {
                return Optional.of("no answer: " + e.getCause());
            }
        }
    }
}
