package org.boragethread.core.metrics;

import org.boragethread.core.retry.HedgeDecision;
import org.boragethread.core.retry.ResumeEvent;
import org.boragethread.core.retry.RetryDecision;

/** Listener for decisions about requests. */
public interface DecisionEvents {

    /** Ignores all events. */
    DecisionEvents NONE = new DecisionEvents() {};

    /** Called when it was decided whether to retry a failed attempt. */
    default void onRetryDecision(RetryDecision decision) {}

    /** Called when it was decided whether to hedge a slow attempt. */
    default void onHedgeDecision(HedgeDecision decision) {}

    /** Called when a token or the end of a resumable stream was processed. */
    default void onStreamEvent(ResumeEvent event) {}
}
