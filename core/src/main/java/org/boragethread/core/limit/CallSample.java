package org.boragethread.core.limit;

import java.time.Duration;
import java.util.Objects;

/**
 * A completed call to the upstream.
 *
 * @param startNanos monotonic time of admission, in nanoseconds
 * @param inFlight calls in flight right after admission, including this one
 * @param latency time from admission to the end of the call
 */
public record CallSample(long startNanos, int inFlight, Duration latency) {

    public CallSample {
        Objects.requireNonNull(latency, "latency");
    }
}
