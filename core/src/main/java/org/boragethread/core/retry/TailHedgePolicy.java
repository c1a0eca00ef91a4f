package org.boragethread.core.retry;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.deadline.ServiceTimes;

/**
 * Hedges an idempotent attempt once it takes longer than nearly all of its group's and at least
 * twice as long as most, and only while the group has room for the second attempt.
 */
public final class TailHedgePolicy implements HedgePolicy {

    private static final double TAIL = 0.95;
    private static final double TYPICAL = 0.5;
    private static final int MIN_MULTIPLE_OF_TYPICAL = 2;
    private static final double MAX_UTILISATION = 0.5;

    @Override
    public Optional<Duration> delay(HedgeRequest request, ServiceTimes times) {
        if (!request.idempotent()) {
            return Optional.empty();
        }
        Optional<Duration> tail = times.quantile(TAIL);
        Optional<Duration> typical = times.quantile(TYPICAL);
        if (tail.isEmpty() || typical.isEmpty()) {
            return Optional.empty();
        }
        Duration least = typical.get().multipliedBy(MIN_MULTIPLE_OF_TYPICAL);
        Duration delay = tail.get().compareTo(least) < 0 ? least : tail.get();
        return leavesTime(request.timeLeft().minus(delay), times)
                ? Optional.of(delay)
                : Optional.empty();
    }

    @Override
    public HedgeDecision decide(HedgeRequest request, ServiceTimes times, RetryBudget budget) {
        if (!request.idempotent()) {
            return HedgeDecision.NOT_IDEMPOTENT;
        }
        if (!leavesTime(request.timeLeft(), times)) {
            return HedgeDecision.NO_TIME;
        }
        if (request.utilisation() > MAX_UTILISATION) {
            return HedgeDecision.NO_ROOM;
        }
        return budget.tryAcquire(ExtraAttemptKind.EXTRA_CALL)
                ? HedgeDecision.SENT
                : HedgeDecision.BUDGET_EXHAUSTED;
    }

    private static boolean leavesTime(Duration left, ServiceTimes times) {
        return left.compareTo(times.quantile(TYPICAL).orElse(Duration.ZERO)) >= 0;
    }
}
