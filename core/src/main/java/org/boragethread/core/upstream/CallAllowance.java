package org.boragethread.core.upstream;

import java.time.Duration;

/**
 * How many calls this process may send to an upstream.
 *
 * @param calls calls in any span of the given length; 0 if this process has no share
 * @param window length of the span
 */
public record CallAllowance(int calls, Duration window) {

    /** Returns the calls per second that this process may send on average. */
    public double callsPerSecond() {
        return calls * 1e9 / window.toNanos();
    }
}
