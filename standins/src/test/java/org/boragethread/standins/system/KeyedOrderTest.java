package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.boragethread.standins.caller.CallerClient;
import org.boragethread.standins.caller.CallerRequest;
import org.boragethread.standins.caller.CallerResponse;
import org.boragethread.standins.harness.Await;
import org.boragethread.standins.harness.Deployment;
import org.boragethread.standins.platform.PlatformFaults;
import org.boragethread.standins.upstream.Order;
import org.boragethread.standins.upstream.Upstream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that orders with an idempotency key run at most once, whichever entries receive them. */
public final class KeyedOrderTest {

    private static final int DEADLINE_MS = 5000;
    private static final int LONG_DEADLINE_MS = 10_000;
    private static final int CALLS = 8;
    private static final int PARTITIONS = 8;
    private static final double SLOW_FACTOR = 600;
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private CallerClient mClient;
    private Deployment mDeployment;

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
    public void repeatedOrderGetsTheFirstAnswer() throws Exception {
        CallerResponse first = get(call(0, order("span 1").withKey("key-1")));
        CallerResponse second = get(call(1, order("span 1").withKey("key-1")));
        assertEquals(first.status(), 200, first.text());
        assertEquals(second.status(), 200, second.text());
        assertEquals(second.text(), first.text());
        assertEquals(ledger().size(), 1);
    }

    @Test
    public void concurrentOrdersRunOnce() throws Exception {
        List<CompletableFuture<CallerResponse>> answers = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            answers.add(call(i % 2, order("span 2").withKey("key-2")));
        }
        String first = get(answers.get(0)).text();
        for (CompletableFuture<CallerResponse> answer : answers) {
            assertEquals(get(answer).status(), 200, get(answer).text());
            assertEquals(get(answer).text(), first);
        }
        assertEquals(ledger().size(), 1);
    }

    @Test
    public void keyReusedWithAnotherBodyIsRefused() throws Exception {
        assertEquals(get(call(0, order("span 3").withKey("key-3"))).status(), 200);
        CallerResponse reused = get(call(1, order("span 4").withKey("key-3")));
        assertEquals(reused.status(), 422, reused.text());
        assertEquals(reused.problem("reason"), "key-reused");
        assertEquals(ledger().size(), 1);
    }

    @Test
    public void keyedOrderIsNotRunWhileTheLogIsDown() throws Exception {
        mDeployment.platform().setFaults(PlatformFaults.NONE.withDown(true));
        CallerResponse keyed = get(call(0, order("span 5").withKey("key-5")));
        assertEquals(keyed.problem("reason"), "log-unavailable", keyed.text());
        assertEquals(keyed.problem("ran"), "no");
        assertTrue(ledger().isEmpty());
        CallerResponse unkeyed = get(call(0, order("span 6")));
        assertEquals(unkeyed.status(), 200, unkeyed.text());
        assertEquals(ledger().size(), 1);
    }

    @Test
    public void keyedOrderRunsOnceAfterTheLogIsBack() throws Exception {
        mDeployment.platform().setFaults(PlatformFaults.NONE.withDown(true));
        CallerResponse refused = get(call(0, order("span 7").withKey("key-7")));
        assertEquals(refused.problem("ran"), "no", refused.text());
        mDeployment.platform().setFaults(PlatformFaults.NONE);
        Await.until(
                "the order is accepted again",
                TIMEOUT,
                () -> getUnchecked(call(0, order("span 7").withKey("key-7"))).status() == 200);
        assertEquals(ledger().size(), 1);
    }

    @Test
    public void orderOfKilledEntryIsAnsweredByTheOtherWithoutSecondRun() throws Exception {
        for (Upstream upstream : mDeployment.upstreams()) {
            upstream.setFaults(upstream.faults().withSlowFactor(SLOW_FACTOR));
        }
        call(0, order("span 8").withKey("key-8"));
        Await.until("the order runs", TIMEOUT, () -> ledger().size() == 1);
        mDeployment.entries().get(0).process().kill();
        CallerRequest retry =
                CallerRequest.of(
                                TestDeployments.CUT_ORDER,
                                TestDeployments.TEAM,
                                "span 8".getBytes(StandardCharsets.UTF_8),
                                LONG_DEADLINE_MS)
                        .withKey("key-8");
        CallerResponse answer = get(call(1, retry));
        boolean allowed = answer.status() == 200 || answer.problem("ran").equals("unknown");
        assertTrue(allowed, answer.text());
        assertEquals(ledger().size(), 1);
    }

    @Test
    public void orderIsReassignedIfUpstreamIsUnreachable() throws Exception {
        mDeployment.upstream("orders-1").disconnect();
        CallerResponse answer = get(call(0, order("span 9").withKey("key-9")));
        assertEquals(answer.status(), 200, answer.text());
        assertEquals(ledger().size(), 1);
        assertEquals(handovers(), 1);
    }

    private long handovers() {
        long count = 0;
        for (int i = 0; i < PARTITIONS; i++) {
            count +=
                    mDeployment.platform().records("claims-" + i).stream()
                            .map(record -> new String(record.data(), StandardCharsets.UTF_8))
                            .filter(record -> record.startsWith("{\"t\":\"h\""))
                            .count();
        }
        return count;
    }

    private List<Order> ledger() {
        return ExecutedOrders.of(mDeployment);
    }

    private CompletableFuture<CallerResponse> call(int entry, CallerRequest request) {
        return mClient.call(mDeployment.callerAddresses().get(entry), request);
    }

    private static CallerResponse get(CompletableFuture<CallerResponse> answer) throws Exception {
        return answer.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }

    private static CallerResponse getUnchecked(CompletableFuture<CallerResponse> answer) {
        return answer.orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS).join();
    }

    private static CallerRequest order(String body) {
        return CallerRequest.of(
                TestDeployments.CUT_ORDER,
                TestDeployments.TEAM,
                body.getBytes(StandardCharsets.UTF_8),
                DEADLINE_MS);
    }
}
