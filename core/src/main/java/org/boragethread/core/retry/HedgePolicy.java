package org.boragethread.core.retry;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.deadline.ServiceTimes;

/**
 * Decides whether a slow attempt is joined by a second one on another upstream. The caller sends at
 * most one hedge for a stage, uses the first whole answer and cancels the other attempt. Safe for
 * use by several threads.
 */
public interface HedgePolicy {

    /**
     * Returns how long to wait for the first attempt before asking {@link #decide}; empty if it is
     * never hedged.
     *
     * @param times observed times of the stage's upstream group
     */
    Optional<Duration> delay(HedgeRequest request, ServiceTimes times);

    /**
     * Decides once the delay has passed, and takes from the budget if the hedge is sent.
     *
     * @param request the attempt, with the time left now
     * @param times observed times of the stage's upstream group
     * @param budget budget of that group
     */
    HedgeDecision decide(HedgeRequest request, ServiceTimes times, RetryBudget budget);
}
