package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.boragethread.standins.harness.Await;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.StoreStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests gateways whose callers send prompts with a part that crashes engines. */
public class CrashingPromptTest {

    private static final int ENGINES = 24;
    private static final int MAX_CRASHES = 5;
    private static final int MAX_LATE_SENDS = 3;
    private static final Duration STABLE_WINDOW = Duration.ofSeconds(3);
    private static final int LATE_ROUNDS = 20;
    private static final int MAX_ROUNDS = 200;

    private static final String SHARED_PART = "a1";
    private static final String CRASHING_PART = "bad0";
    private static final int OK = 200;

    private static final String CONFIG =
            """
            {"version":1,"routes":[
            {"name":"notes","hostname":"127.0.0.1","path_prefix":"/notes/","kind":"streaming",
             "timeout_ms":5000,"target_latency_ms":2000,"gap_aim_ms":1000,"service":"engines",
             "max_attempts":1},
            {"name":"drafts","hostname":"127.0.0.1","path_prefix":"/drafts/","kind":"streaming",
             "can_resume":true,"timeout_ms":5000,"target_latency_ms":2000,"gap_aim_ms":1000,
             "service":"engines","max_attempts":2}],
            "services":[{"name":"engines","health_path":"/health","max_conns":100}],
            "tenants":[{"name":"team-1","api_keys":["key-1"]}]}""";

    private StoreStandIn mStore;
    private CrashingEngines mEngines;
    private ProcessHarness mHarness;
    private final List<TestGateway> mGateways = new ArrayList<>();
    private int mRequests;

    @BeforeMethod
    public void startAll() throws Exception {
        mStore = new StoreStandIn();
        mStore.start();
        mStore.put(StoreStandIn.OPERATOR_TOPIC, "config", CONFIG);
        mEngines =
                new CrashingEngines(
                        mStore,
                        "engines",
                        ENGINES,
                        CrashingEngines.withPart(CRASHING_PART),
                        CrashingEngines.Crash.BEFORE_RESPONSE);
        mHarness = new ProcessHarness();
        mGateways.clear();
        for (String name : List.of("first", "second", "third")) {
            mGateways.add(TestGateway.start(mHarness, name, mStore.address()));
        }
    }

    @AfterMethod(alwaysRun = true)
    public void stopAll() throws Exception {
        mHarness.close();
        mEngines.close();
        mStore.close();
    }

    /**
     * Sends a request that crashes engines beside a sound one with the same first part; returns the
     * status of the sound one.
     */
    private int sendRound() throws Exception {
        mRequests++;
        TestGateway gateway = mGateways.get(mRequests % mGateways.size());
        CompletableFuture<Integer> sound =
                CompletableFuture.supplyAsync(() -> sendSound(gateway, "sound-" + mRequests));
        post(gateway, "bad-" + mRequests, CRASHING_PART);
        return sound.join();
    }

    private int sendSound(TestGateway gateway, String id) {
        try {
            return post(gateway, id, "c3").statusCode();
        } catch (Exception e) {
            // A response that is broken off after its head.
            return 0;
        }
    }

    private HttpResponse<String> post(TestGateway gateway, String id, String part)
            throws Exception {
        String route = mRequests % 2 == 0 ? "/notes/x" : "/drafts/x";
        String prompt = "%s:100,%s:50,%x:20".formatted(SHARED_PART, part, mRequests);
        return gateway.postWithKey(route, id, "X-Boragethread-Prompt-Prefix", prompt);
    }

    /** Sends rounds until the stable window after the fifth crash has passed. */
    private void sendUntilCrashesMustBeKnown() throws Exception {
        for (int i = 0; i < MAX_ROUNDS; i++) {
            List<Long> crashes = mEngines.crashes();
            boolean known =
                    crashes.size() >= MAX_CRASHES
                            && System.nanoTime() - crashes.get(MAX_CRASHES - 1)
                                    > STABLE_WINDOW.toNanos();
            if (known || isEveryBadRequestRefused()) {
                return;
            }
            sendRound();
        }
    }

    /** Returns whether the last rounds, one at each gateway, sent nothing to engines. */
    private boolean isEveryBadRequestRefused() throws Exception {
        int before = mEngines.crashes().size();
        if (before == 0) {
            return false;
        }
        for (int i = 0; i < mGateways.size(); i++) {
            sendRound();
        }
        return mEngines.crashes().size() == before;
    }

    // Guards against a prompt that ends one engine after the other, as no entry remembers it.
    @Test
    public void partThatCrashedFiveEnginesIsNotSentAnyMore() throws Exception {
        sendUntilCrashesMustBeKnown();
        int before = mEngines.crashes().size();
        int soundAnswers = 0;
        for (int i = 0; i < LATE_ROUNDS; i++) {
            soundAnswers += sendRound() == OK ? 1 : 0;
        }
        int late = mEngines.crashes().size() - before;
        assertTrue(late <= MAX_LATE_SENDS, late + " requests reached engines later");
        assertEquals(soundAnswers, LATE_ROUNDS);
    }

    private void sendUntilBlocked() throws Exception {
        sendUntilCrashesMustBeKnown();
        int before = mEngines.crashes().size();
        sendRound();
        assertEquals(mEngines.crashes().size(), before);
    }

    @Test
    public void refusalSaysThatTheRequestDidNotRunAndWhenToComeBack() throws Exception {
        sendUntilBlocked();
        HttpResponse<String> refusal = post(mGateways.get(0), "refused", CRASHING_PART);
        assertEquals(refusal.statusCode(), 503);
        assertTrue(refusal.body().contains("\"reason\":\"prompt-blocked\",\"ran\":\"no\""));
        assertTrue(Double.parseDouble(refusal.headers().firstValue("Retry-After").get()) > 1);
        mGateways.get(0).awaitLogLine("\"part\":\"engines/bad0\"");
    }

    // Guards against an entry that starts in the middle and sends the part to further engines.
    @Test
    public void entryThatStartsLaterKnowsTheBlock() throws Exception {
        sendUntilBlocked();
        int before = mEngines.crashes().size();
        TestGateway late = TestGateway.start(mHarness, "late", mStore.address());
        assertEquals(post(late, "late-bad", CRASHING_PART).statusCode(), 503);
        assertEquals(sendSound(late, "late-sound"), OK);
        assertEquals(mEngines.crashes().size(), before);
    }

    // Guards against reports that are lost when the store comes back from an older copy.
    @Test
    public void blockIsKeptWhenTheStoreLosesTheReports() throws Exception {
        mStore.copyRecords();
        sendUntilBlocked();
        mStore.restoreCopy();
        Await.until(
                "the reports are written again",
                TestGateway.TIMEOUT,
                () ->
                        mStore.keys("keyed.quarantine").stream()
                                .anyMatch(key -> key.startsWith("crash")));
        int before = mEngines.crashes().size();
        TestGateway late = TestGateway.start(mHarness, "late", mStore.address());
        assertEquals(post(late, "late-bad", CRASHING_PART).statusCode(), 503);
        assertEquals(mEngines.crashes().size(), before);
    }
}
