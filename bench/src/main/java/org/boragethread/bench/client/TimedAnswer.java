package org.boragethread.bench.client;

import java.util.List;
import org.boragethread.standins.caller.CallerAnswer;

/**
 * An answer and when its parts came.
 *
 * @param answer the whole answer
 * @param lineNanos monotonic time of the arrival of each line that carries data, in nanoseconds
 * @param endNanos monotonic time of the end, in nanoseconds
 */
public record TimedAnswer(CallerAnswer answer, List<Long> lineNanos, long endNanos) {}
