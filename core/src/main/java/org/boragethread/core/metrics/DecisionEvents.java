package org.boragethread.core.metrics;

import org.boragethread.core.retry.HedgeDecision;
import org.boragethread.core.retry.ResumeEvent;
import org.boragethread.core.retry.RetryDecision;

/** Receives the decisions that are made about requests. */
public interface DecisionEvents {

    /** Ignores all events. */
    DecisionEvents NONE = new DecisionEvents() {};

    /** A failed attempt was followed by another, or not. */
    default void onRetryDecision(RetryDecision decision) {}

    /** A slow attempt was hedged, or not. */
    default void onHedgeDecision(HedgeDecision decision) {}

    /** A token or end of a stream was judged. */
    default void onStreamEvent(ResumeEvent event) {}
}
