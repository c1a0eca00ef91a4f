package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.TimeUnit;
import org.boragethread.standins.caller.CallerClient;
import org.boragethread.standins.caller.CallerRequest;
import org.boragethread.standins.caller.CallerResponse;
import org.boragethread.standins.harness.Await;
import org.boragethread.standins.harness.ConfigDocuments.Change;
import org.boragethread.standins.harness.ConfigDocuments.PutTeam;
import org.boragethread.standins.harness.ConfigDocuments.SetDataCentreService;
import org.boragethread.standins.harness.ConfigDocuments.Team;
import org.boragethread.standins.harness.Deployment;
import org.boragethread.standins.harness.OperatorClient;
import org.boragethread.standins.harness.OperatorClient.Confirmation;
import org.boragethread.standins.proxy.ConnectionFaults;
import org.boragethread.standins.proxy.Faults;
import org.boragethread.standins.upstream.Upstream;
import org.boragethread.standins.upstream.UpstreamFaults;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that configuration changes reach every process and that one of two rival plans wins. */
public final class ConfigTest {

    private static final long SEED = 5;
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final Duration PROPAGATION_LIMIT = Duration.ofSeconds(9);
    private static final Duration DRAIN_LIMIT = Duration.ofSeconds(5);
    private static final Duration OBSERVATION_TIME = Duration.ofSeconds(2);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(20);
    private static final long DEADLINE_MS = 10_000;

    /**
     * Multiplies the service time of 3 ms so that calls still run while the data centre is removed.
     */
    private static final double SLOW_FACTOR = 500;

    private static final int SLOW_CALLS = 12;

    private Deployment mDeployment;
    private CallerClient mClient;

    @BeforeMethod
    public void start() throws IOException {
        mClient = new CallerClient();
        mDeployment = Deployment.start(TestDeployments.standard().platformProxied(SEED).build());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        if (mDeployment != null) {
            mDeployment.close();
        }
    }

    @Test
    public void changeReachesAllProcessesWithinTheBound() {
        long revision = operator(0).apply(putTeam("lines"), false);
        long confirmed = System.nanoTime();
        mDeployment.entries().forEach(e -> awaitEntry(e.operator(), revision, confirmed));
        awaitAgents(revision, confirmed);
    }

    @Test
    public void entryWithoutLogAccessReceivesChangeFromAgents() {
        mDeployment
                .platformProxy("entry-1")
                .setFaults(ConnectionFaults.both(Faults.blackHoleAfter(0)));
        long cut = System.nanoTime();
        long revision = operator(1).apply(putTeam("lines"), false);
        long confirmed = System.nanoTime();
        awaitEntry(operator(0), revision, confirmed);
        awaitAgents(revision, confirmed);
        JsonNode status = operator(0).status();
        long sinceCut = TimeUnit.NANOSECONDS.toMillis(confirmed - cut);
        long staleness = status.path("configAges").path("stalenessMs").asLong();
        assertTrue(staleness >= sinceCut, "log read %d ms ago".formatted(staleness));
        assertEquals(status.path("teams").asInt(), 2);
    }

    @Test
    public void oneOfTwoConcurrentPlansIsConfirmed() throws Exception {
        List<Change> change = List.of(new SetDataCentreService("florida", "out"));
        List<byte[]> plans =
                List.of(operator(0).plan(change, false), operator(1).plan(change, false));
        CyclicBarrier bothReady = new CyclicBarrier(2);
        List<CompletableFuture<Confirmation>> answers = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            int entry = i;
            answers.add(
                    CompletableFuture.supplyAsync(
                            () -> {
                                awaitBarrier(bothReady);
                                return operator(entry).confirm(plans.get(entry));
                            }));
        }
        List<Confirmation> confirmations = new ArrayList<>();
        for (CompletableFuture<Confirmation> answer : answers) {
            confirmations.add(answer.get(ANSWER_TIMEOUT.toSeconds(), TimeUnit.SECONDS));
        }
        List<Integer> statuses = confirmations.stream().map(Confirmation::status).sorted().toList();
        assertEquals(statuses, List.of(OK, CONFLICT), confirmations.toString());
        Confirmation lost = confirmations.get(confirmations.get(0).status() == OK ? 1 : 0);
        assertEquals(lost.body().path("reason").asText(), "conflict");
        assertTrue(lost.body().toString().contains("revision"), lost.body().toString());
    }

    @Test
    public void repeatedConfirmationGivesTheSameRevision() {
        byte[] plan = operator(0).plan(putTeam("lines"), false);
        Confirmation first = operator(0).confirm(plan);
        assertEquals(first.status(), OK, first.body().toString());
        operator(1).apply(putTeam("maps"), false);
        for (int entry = 0; entry < 2; entry++) {
            Confirmation again = operator(entry).confirm(plan);
            assertEquals(again.status(), OK, again.body().toString());
            assertEquals(again.body().path("revision"), first.body().path("revision"));
        }
    }

    @Test
    public void dataCentreTakenOutGetsNoNewCallAndRunningCallsEnd() throws Exception {
        Upstream upstream = mDeployment.upstream("encode-2");
        upstream.setFaults(UpstreamFaults.NONE.withSlowFactor(SLOW_FACTOR));
        List<CompletableFuture<CallerResponse>> running = new ArrayList<>();
        for (int i = 0; i < SLOW_CALLS; i++) {
            running.add(lookup(i));
        }
        Await.until(
                "a call runs at encode-2", ANSWER_TIMEOUT, () -> upstream.stats().concurrent() > 0);
        operator(0).apply(List.of(new SetDataCentreService("canelones", "out")), false);
        long confirmed = System.nanoTime();
        while (System.nanoTime() - confirmed < DRAIN_LIMIT.toNanos()) {
            checkAnswer(lookup(0), 0);
        }
        long calls = upstream.stats().calls();
        while (System.nanoTime() - confirmed < DRAIN_LIMIT.plus(OBSERVATION_TIME).toNanos()) {
            checkAnswer(lookup(1), 1);
        }
        assertEquals(upstream.stats().calls(), calls);
        for (int i = 0; i < SLOW_CALLS; i++) {
            checkAnswer(running.get(i), i);
        }
        assertEquals(upstream.stats().concurrent(), 0);
    }

    private CompletableFuture<CallerResponse> lookup(int number) {
        String entry = mDeployment.callerAddresses().get(number % 2);
        return mClient.call(
                entry,
                CallerRequest.of(
                        TestDeployments.LOOKUP, TestDeployments.TEAM, body(number), DEADLINE_MS));
    }

    private static void checkAnswer(CompletableFuture<CallerResponse> future, int number)
            throws Exception {
        CallerResponse answer = future.get(ANSWER_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        assertEquals(answer.status(), OK, answer.text());
        assertEquals(
                TestDeployments.LOOKUP_ANSWER.mismatch(answer, body(number)), Optional.empty());
    }

    private static byte[] body(int number) {
        return ("span " + number).getBytes(StandardCharsets.UTF_8);
    }

    private OperatorClient operator(int entry) {
        return mDeployment.entries().get(entry).operator();
    }

    private static List<Change> putTeam(String id) {
        return List.of(new PutTeam(new Team(id, 1, 100, 10)));
    }

    private static void awaitEntry(OperatorClient entry, long revision, long since) {
        Await.until(
                "revision %d at an entry".formatted(revision),
                remainingTime(since),
                () -> entry.status().path("revision").asLong() >= revision);
    }

    private void awaitAgents(long revision, long since) {
        mDeployment
                .agents()
                .forEach(
                        agent ->
                                Await.until(
                                        "revision %d at %s".formatted(revision, agent.name()),
                                        remainingTime(since),
                                        () ->
                                                ProcessMetrics.configRevision(agent.monitor())
                                                        >= revision));
    }

    private static Duration remainingTime(long since) {
        return PROPAGATION_LIMIT.minusNanos(System.nanoTime() - since);
    }

    private static void awaitBarrier(CyclicBarrier barrier) {
        try {
            barrier.await(ANSWER_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new IllegalStateException("the other operator did not reach the barrier", e);
        }
    }
}
