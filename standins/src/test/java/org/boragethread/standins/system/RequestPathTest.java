package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.boragethread.standins.caller.CallerClient;
import org.boragethread.standins.caller.CallerRequest;
import org.boragethread.standins.caller.CallerResponse;
import org.boragethread.standins.harness.Deployment;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests requests that pass through entry and agent processes to upstreams and back. */
public final class RequestPathTest {

    private static final int DEADLINE_MS = 5000;
    private static final int CALLS = 300;

    private final CallerClient mClient = new CallerClient();
    private Deployment mDeployment;

    @BeforeClass
    public void start() throws IOException {
        mDeployment = Deployment.start(TestDeployments.standard().build());
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        if (mDeployment != null) {
            mDeployment.close();
        }
    }

    @Test
    public void lookupIsAnsweredCompletely() throws Exception {
        CallerResponse answer = call(0, request(TestDeployments.LOOKUP, "span 7"));
        assertEquals(answer.status(), 200, answer.text());
        assertEquals(
                TestDeployments.LOOKUP_ANSWER.mismatch(answer, bytes("span 7")), Optional.empty());
    }

    @Test
    public void summaryIsStreamedThroughAllStages() throws Exception {
        CallerResponse answer = call(1, request(TestDeployments.SUMMARY, "span 7").asStream());
        assertEquals(answer.status(), 200, answer.text());
        assertTrue(answer.contentType().startsWith("text/event-stream"), answer.contentType());
        assertEquals(
                TestDeployments.SUMMARY_ANSWER.mismatch(answer, bytes("span 7")), Optional.empty());
    }

    @Test
    public void orderRunsOnce() throws Exception {
        CallerResponse answer =
                call(0, request(TestDeployments.CUT_ORDER, "span 8").withKey("order-8"));
        assertEquals(answer.status(), 200, answer.text());
        assertEquals(
                TestDeployments.ORDER_ANSWER.mismatch(answer, bytes("span 8")), Optional.empty());
        long executed =
                ExecutedOrders.of(mDeployment).stream()
                        .filter(order -> order.requestId().equals(answer.requestId()))
                        .count();
        assertEquals(executed, 1);
    }

    @Test
    public void concurrentCallsOnPersistentConnectionsAreAllAnswered() throws Exception {
        List<CompletableFuture<CallerResponse>> answers = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            String entry = mDeployment.callerAddresses().get(i % 2);
            answers.add(mClient.call(entry, request(TestDeployments.LOOKUP, "call " + i)));
            if (i % 10 == 9) {
                answers.get(i).get(20, TimeUnit.SECONDS);
            }
        }
        for (int i = 0; i < CALLS; i++) {
            CallerResponse answer = answers.get(i).get(20, TimeUnit.SECONDS);
            assertEquals(answer.status(), 200, answer.text());
            Optional<String> fault =
                    TestDeployments.LOOKUP_ANSWER.mismatch(answer, bytes("call " + i));
            assertEquals(fault, Optional.empty());
        }
    }

    private CallerResponse call(int entry, CallerRequest request) throws Exception {
        String address = mDeployment.callerAddresses().get(entry);
        return mClient.call(address, request).get(20, TimeUnit.SECONDS);
    }

    private static CallerRequest request(String pipeline, String body) {
        return CallerRequest.of(pipeline, TestDeployments.TEAM, bytes(body), DEADLINE_MS);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
