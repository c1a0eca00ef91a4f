package org.boragethread.core.dispatch;

import java.time.Duration;

/**
 * What an agent says about a whole answer.
 *
 * @param service time from admission to the end of the answer
 * @param queue time in the agent's queue
 */
public record CallSummary(Duration service, Duration queue) {}
