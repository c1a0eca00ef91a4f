package org.boragethread.core.retry;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.deadline.ServiceTimes;

/** Hedges an idempotent attempt once it takes longer than nearly all of its group's. */
public final class TailHedge implements HedgePolicy {

    private static final double TAIL = 0.95;
    private static final double TYPICAL = 0.5;

    @Override
    public Optional<Duration> delay(HedgeRequest request, ServiceTimes times) {
        if (!request.idempotent()) {
            return Optional.empty();
        }
        Optional<Duration> tail = times.quantile(TAIL);
        if (tail.isEmpty() || !leavesTime(request.left().minus(tail.get()), times)) {
            return Optional.empty();
        }
        return tail;
    }

    @Override
    public HedgeDecision decide(HedgeRequest request, ServiceTimes times, RetryBudget budget) {
        if (!request.idempotent()) {
            return HedgeDecision.NOT_IDEMPOTENT;
        }
        if (!leavesTime(request.left(), times)) {
            return HedgeDecision.NO_TIME;
        }
        return budget.tryTake(ExtraKind.EXTRA_CALL)
                ? HedgeDecision.SENT
                : HedgeDecision.BUDGET_EXHAUSTED;
    }

    private static boolean leavesTime(Duration left, ServiceTimes times) {
        return left.compareTo(times.quantile(TYPICAL).orElse(Duration.ZERO)) >= 0;
    }
}
