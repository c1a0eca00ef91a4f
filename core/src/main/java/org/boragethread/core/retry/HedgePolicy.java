package org.boragethread.core.retry;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.deadline.ServiceTimes;

/**
 * Decides whether a slow attempt is hedged, that is, joined by a second attempt on another
 * upstream. The caller sends at most one hedge per stage, uses the first complete response and
 * cancels the other attempt. Implementations are thread-safe.
 */
public interface HedgePolicy {

    /**
     * Returns how long to wait for the first attempt before calling {@link #decide}; empty if the
     * attempt is never hedged.
     *
     * @param times observed response times of the upstream group of the stage
     */
    Optional<Duration> delay(HedgeRequest request, ServiceTimes times);

    /**
     * Decides after the delay whether to send the hedge, and charges the budget if so.
     *
     * @param request the attempt, with the time left at this point
     * @param times observed response times of the upstream group of the stage
     * @param budget retry budget of that group
     */
    HedgeDecision decide(HedgeRequest request, ServiceTimes times, RetryBudget budget);
}
