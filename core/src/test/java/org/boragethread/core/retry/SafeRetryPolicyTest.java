package org.boragethread.core.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.outcome.ExecutionStatus;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link SafeRetryPolicy} and the rules that every retry policy must follow. */
public class SafeRetryPolicyTest {

    private static final Duration LONG_TIME = Duration.ofSeconds(2);
    private static final int REQUESTS = 20_000;

    private ManualTimeSource mTime;
    private RetryBudget mBudget;
    private RetryPolicy mPolicy;

    @BeforeMethod
    public void createPolicy() {
        mTime = new ManualTimeSource();
        mBudget = new RetryBudget(mTime);
        mPolicy = new SafeRetryPolicy(new SplittableRandom(5), 3);
    }

    @Test
    public void noPolicyRetriesANonIdempotentStageThatMayHaveRun() {
        List<RetryPolicy> policies =
                List.of(mPolicy, new ImmediateRetryPolicy(3), new NoRetryPolicy());
        for (RetryPolicy policy : policies) {
            for (RefusalReason reason : RefusalReason.values()) {
                for (ExecutionStatus ran : List.of(ExecutionStatus.UNKNOWN, ExecutionStatus.YES)) {
                    FailedAttempt attempt = attempt(reason, ran, false, 1, LONG_TIME);
                    RetryDecision decision = policy.decide(attempt, mBudget);
                    assertTrue(decision instanceof RetryDecision.GiveUp, reason + " " + ran);
                }
            }
        }
    }

    @Test
    public void nonIdempotentStageThatDidNotRunIsRetried() {
        FailedAttempt attempt =
                attempt(RefusalReason.LEAVING, ExecutionStatus.NO, false, 1, LONG_TIME);
        assertEquals(
                mPolicy.decide(attempt, mBudget),
                new RetryDecision.Retry(Duration.ZERO, RetryReason.LEAVING));
    }

    @Test
    public void invalidRequestIsNotRetried() {
        FailedAttempt attempt =
                attempt(RefusalReason.BAD_REQUEST, ExecutionStatus.NO, true, 1, LONG_TIME);
        assertGivesUp(attempt, GiveUpReason.NOT_RETRYABLE);
    }

    @Test
    public void numberOfAttemptsIsLimited() {
        FailedAttempt attempt =
                attempt(RefusalReason.UPSTREAM_FAILED, ExecutionStatus.UNKNOWN, true, 3, LONG_TIME);
        assertGivesUp(attempt, GiveUpReason.ATTEMPTS_EXHAUSTED);
    }

    @Test
    public void attemptThatCannotFinishInTimeIsNotMade() {
        Duration shortTime = Duration.ofMillis(100);
        FailedAttempt attempt =
                new FailedAttempt(
                        Refusal.unknown(RefusalReason.UPSTREAM_FAILED, "cut"),
                        true,
                        1,
                        shortTime,
                        Optional.of(shortTime.multipliedBy(3)));
        assertGivesUp(attempt, GiveUpReason.NO_TIME);
    }

    @Test
    public void backOffIsLimited() {
        for (int i = 0; i < 1000; i++) {
            mBudget.recordFirstCall();
        }
        for (int i = 0; i < 100; i++) {
            FailedAttempt attempt =
                    attempt(
                            RefusalReason.CONNECTION_LOST,
                            ExecutionStatus.UNKNOWN,
                            true,
                            2,
                            LONG_TIME);
            RetryDecision.Retry retry = (RetryDecision.Retry) mPolicy.decide(attempt, mBudget);
            assertTrue(retry.delay().compareTo(Duration.ofMillis(20)) <= 0);
        }
    }

    @Test
    public void retryStormAddsAtMostATenthOfTheCalls() {
        assertTrue(countCallsOfRetryStorm(mPolicy) <= REQUESTS * 1.1, "calls over the budget");
        assertTrue(
                countCallsOfRetryStorm(new ImmediateRetryPolicy(3)) > REQUESTS * 1.5,
                "baseline adds far more");
    }

    /** Returns the number of upstream calls if half of all attempts fail. */
    private int countCallsOfRetryStorm(RetryPolicy policy) {
        SplittableRandom random = new SplittableRandom(3);
        int calls = 0;
        for (int i = 0; i < REQUESTS; i++) {
            mTime.advance(Duration.ofMillis(2));
            mBudget.recordFirstCall();
            calls++;
            int attempts = 1;
            while (random.nextBoolean() && mayRetry(policy, attempts)) {
                attempts++;
                calls++;
            }
        }
        return calls;
    }

    private boolean mayRetry(RetryPolicy policy, int attempts) {
        FailedAttempt attempt =
                attempt(
                        RefusalReason.UPSTREAM_FAILED,
                        ExecutionStatus.UNKNOWN,
                        true,
                        attempts,
                        LONG_TIME);
        return policy.decide(attempt, mBudget) instanceof RetryDecision.Retry;
    }

    private void assertGivesUp(FailedAttempt attempt, GiveUpReason reason) {
        assertEquals(mPolicy.decide(attempt, mBudget), new RetryDecision.GiveUp(reason));
    }

    private static FailedAttempt attempt(
            RefusalReason reason,
            ExecutionStatus ran,
            boolean idempotent,
            int attempts,
            Duration left) {
        Refusal refusal = new Refusal(reason, ran, "test", Optional.empty());
        return new FailedAttempt(refusal, idempotent, attempts, left, Optional.empty());
    }
}
