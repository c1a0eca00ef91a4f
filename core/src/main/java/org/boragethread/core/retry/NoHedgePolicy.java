package org.boragethread.core.retry;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.deadline.ServiceTimes;

/** Baseline for comparison: attempts are never hedged. */
public final class NoHedgePolicy implements HedgePolicy {

    @Override
    public Optional<Duration> delay(HedgeRequest request, ServiceTimes times) {
        return Optional.empty();
    }

    @Override
    public HedgeDecision decide(HedgeRequest request, ServiceTimes times, RetryBudget budget) {
        return HedgeDecision.HEDGES_OFF;
    }
}
