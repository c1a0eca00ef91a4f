package org.boragethread.core.dispatch;

import java.time.Duration;

/**
 * Timing of a completed call, as measured by the agent.
 *
 * @param serviceTime time from admission to the end of the response
 * @param queueTime time in the agent's queue
 */
public record CallSummary(Duration serviceTime, Duration queueTime) {}
