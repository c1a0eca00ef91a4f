package org.boragethread.core.limit;

import java.time.Duration;
import java.util.Objects;

/**
 * A call to the upstream that has ended.
 *
 * @param startNanos monotonic time of its admission, in nanoseconds
 * @param inFlight calls in flight just after its admission, itself included
 * @param latency time from admission to the end of the call
 */
public record CallSample(long startNanos, int inFlight, Duration latency) {

    public CallSample {
        Objects.requireNonNull(latency, "latency");
    }
}
