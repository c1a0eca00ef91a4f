package org.boragethread.core.metrics;

import static org.testng.Assert.assertEquals;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import org.boragethread.core.admission.FixedAdmissionController;
import org.boragethread.core.limit.LimitChange;
import org.boragethread.core.limit.LimitChangeReason;
import org.boragethread.core.retry.RetryDecision;
import org.boragethread.core.retry.RetryReason;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.upstream.UpstreamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link DecisionMetrics} and {@link AdmissionMetrics}. */
public class DecisionMetricsTest {

    private SimpleMeterRegistry mRegistry;

    @BeforeMethod
    public void makeRegistry() {
        mRegistry = new SimpleMeterRegistry();
    }

    @Test
    public void everyReasonIsRegisteredBeforeItOccurs() {
        new DecisionMetrics(mRegistry);
        for (RefusalReason reason : RefusalReason.values()) {
            assertEquals(count(DecisionMetrics.REFUSALS, reason.label()), 0.0);
        }
        for (RetryReason reason : RetryReason.values()) {
            assertEquals(count(DecisionMetrics.RETRIES, reason.label()), 0.0);
        }
    }

    @Test
    public void retryIsCountedByReasonAndByKindOfExtraAttempt() {
        DecisionMetrics metrics = new DecisionMetrics(mRegistry);
        metrics.onRetryDecision(new RetryDecision.Retry(Duration.ZERO, RetryReason.LEAVING));
        assertEquals(count(DecisionMetrics.RETRIES, "leaving"), 1.0);
        assertEquals(count(DecisionMetrics.EXTRA_ATTEMPTS, "redirect"), 1.0);
    }

    @Test
    public void admissionMetricsIncludeTheLimitAndItsChanges() {
        AdmissionMetrics metrics = new AdmissionMetrics(mRegistry, new UpstreamId("vm-1"));
        metrics.bind(new FixedAdmissionController(7));
        metrics.onLimitChanged(new LimitChange(4, 2, LimitChangeReason.BUSY));
        assertEquals(mRegistry.get(AdmissionMetrics.LIMIT).gauge().value(), 7.0);
        assertEquals(
                mRegistry
                        .get(AdmissionMetrics.LIMIT_CHANGES)
                        .tags("reason", "busy", "direction", "down")
                        .counter()
                        .count(),
                1.0);
    }

    private double count(String name, String reason) {
        return mRegistry.get(name).tag("reason", reason).counter().count();
    }
}
