package org.boragethread.core.retry;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.deadline.ServiceTimes;

/**
 * Hedges an idempotent attempt once it takes longer than nearly all responses of its group and at
 * least twice as long as the median, and only while the group has capacity for the second attempt.
 */
public final class TailHedgePolicy implements HedgePolicy {

    private static final double TAIL_QUANTILE = 0.95;
    private static final double TYPICAL_QUANTILE = 0.5;
    private static final int MIN_TYPICAL_MULTIPLE = 2;
    private static final double MAX_UTILISATION = 0.5;

    @Override
    public Optional<Duration> delay(HedgeRequest request, ServiceTimes times) {
        if (!request.idempotent()) {
            return Optional.empty();
        }
        Optional<Duration> tail = times.quantile(TAIL_QUANTILE);
        Optional<Duration> typical = times.quantile(TYPICAL_QUANTILE);
        if (tail.isEmpty() || typical.isEmpty()) {
            return Optional.empty();
        }
        Duration minDelay = typical.get().multipliedBy(MIN_TYPICAL_MULTIPLE);
        Duration delay = tail.get().compareTo(minDelay) < 0 ? minDelay : tail.get();
        return isEnoughTime(request.timeLeft().minus(delay), times)
                ? Optional.of(delay)
                : Optional.empty();
    }

    @Override
    public HedgeDecision decide(HedgeRequest request, ServiceTimes times, RetryBudget budget) {
        if (!request.idempotent()) {
            return HedgeDecision.NOT_IDEMPOTENT;
        }
        if (!isEnoughTime(request.timeLeft(), times)) {
            return HedgeDecision.NO_TIME;
        }
        if (request.utilisation() > MAX_UTILISATION) {
            return HedgeDecision.NO_ROOM;
        }
        return budget.tryAcquire(ExtraAttemptKind.EXTRA_CALL)
                ? HedgeDecision.SENT
                : HedgeDecision.BUDGET_EXHAUSTED;
    }

    private static boolean isEnoughTime(Duration timeLeft, ServiceTimes times) {
        return timeLeft.compareTo(times.quantile(TYPICAL_QUANTILE).orElse(Duration.ZERO)) >= 0;
    }
}
