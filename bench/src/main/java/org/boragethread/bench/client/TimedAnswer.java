package org.boragethread.bench.client;

import java.util.List;
import org.boragethread.standins.caller.CallerResponse;

/**
 * A response with the arrival times of its parts.
 *
 * @param answer the complete response
 * @param lineNanos monotonic time of the arrival of each line that carries data, in nanoseconds
 * @param endNanos monotonic time at which the response ended, in nanoseconds
 */
public record TimedAnswer(CallerResponse answer, List<Long> lineNanos, long endNanos) {}
