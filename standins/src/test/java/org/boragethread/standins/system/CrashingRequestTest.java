package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.boragethread.standins.harness.ProcessHarness;
import org.boragethread.standins.store.StoreStandIn;
import org.boragethread.standins.system.CrashingEngines.Crash;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests gateways that get a request again and again which crashes the engines that run it. */
public class CrashingRequestTest {

    private static final int ENGINES = 24;
    private static final int MAX_CRASHES = 3;
    private static final int MAX_LATE_SENDS = 3;
    private static final Duration STABLE_WINDOW = Duration.ofSeconds(3);
    private static final int LATE_ROUNDS = 20;
    private static final int MAX_ROUNDS = 200;
    private static final String CRASHING_PATH = "/bad";
    private static final int OK = 200;

    private static final String CONFIG =
            """
            {"version":1,"routes":[
            {"name":"lookup","hostname":"127.0.0.1","path_prefix":"/lookup/","kind":"safe",
             "timeout_ms":5000,"target_latency_ms":2000,"service":"engines","max_attempts":2},
            {"name":"order","hostname":"127.0.0.1","path_prefix":"/order/","kind":"unsafe",
             "timeout_ms":5000,"target_latency_ms":2000,"service":"engines","max_attempts":1},
            {"name":"draft","hostname":"127.0.0.1","path_prefix":"/draft/","kind":"streaming",
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
        mHarness = new ProcessHarness();
        mGateways.clear();
    }

    private void startEngines(Crash crash) throws Exception {
        mEngines =
                new CrashingEngines(
                        mStore,
                        "engines",
                        ENGINES,
                        request -> request.path().endsWith(CRASHING_PATH),
                        crash);
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

    @DataProvider
    public Object[][] requests() {
        return new Object[][] {
            {"/lookup", "", Crash.BEFORE_RESPONSE},
            {"/order", "", Crash.BEFORE_RESPONSE},
            {"/draft", "", Crash.INSIDE_RESPONSE},
            {"/draft", "5c:100,91:20", Crash.INSIDE_RESPONSE},
            {"/draft", "91:20", Crash.BEFORE_RESPONSE},
        };
    }

    /**
     * Sends the crashing request beside a sound one of the same route and team; returns the status
     * of the sound one.
     */
    private int sendRound(String route, String prompt) throws Exception {
        mRequests++;
        TestGateway gateway = mGateways.get(mRequests % mGateways.size());
        String sound = route + "/sound-" + mRequests % 5;
        CompletableFuture<Integer> response =
                CompletableFuture.supplyAsync(() -> status(gateway, sound, prompt));
        status(gateway, route + CRASHING_PATH, prompt);
        return response.join();
    }

    /** Returns the status of a response, 0 if it is broken off. */
    private int status(TestGateway gateway, String path, String prompt) {
        try {
            return post(gateway, path, prompt).statusCode();
        } catch (Exception e) {
            return 0;
        }
    }

    private HttpResponse<String> post(TestGateway gateway, String path, String prompt)
            throws Exception {
        String id = "%s-%d".formatted(path.substring(1).replace('/', '-'), mRequests);
        return prompt.isEmpty()
                ? gateway.postWithKey(path, id)
                : gateway.postWithKey(path, id, "X-Boragethread-Prompt-Prefix", prompt);
    }

    /** Sends rounds until the stable window after the third crash has passed. */
    private void sendUntilCrashesMustBeKnown(String route, String prompt) throws Exception {
        for (int i = 0; i < MAX_ROUNDS && !mustCrashesBeKnown(); i++) {
            sendRound(route, prompt);
        }
    }

    private boolean mustCrashesBeKnown() {
        List<Long> crashes = mEngines.crashes();
        return crashes.size() >= MAX_CRASHES
                && System.nanoTime() - crashes.get(MAX_CRASHES - 1) > STABLE_WINDOW.toNanos();
    }

    // Guards against a request that ends one engine after the other, as no entry remembers it.
    @Test(dataProvider = "requests")
    public void requestThatCrashedThreeEnginesIsNotSentAnyMore(
            String route, String prompt, Crash crash) throws Exception {
        startEngines(crash);
        sendUntilCrashesMustBeKnown(route, prompt);
        int before = mEngines.crashes().size();
        int soundAnswers = 0;
        for (int i = 0; i < LATE_ROUNDS; i++) {
            soundAnswers += sendRound(route, prompt) == OK ? 1 : 0;
        }
        int late = mEngines.crashes().size() - before;
        assertTrue(late <= MAX_LATE_SENDS, late + " sends reached engines later");
        assertEquals(soundAnswers, LATE_ROUNDS);
    }
}
