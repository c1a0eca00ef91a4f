package org.boragethread.core.dispatch;

import java.time.Duration;

/**
 * Timing of a completed call, as measured by the agent.
 *
 * @param service time from admission to the end of the response
 * @param queue time in the agent's queue
 */
public record CallSummary(Duration service, Duration queue) {}
