package org.boragethread.process.monitor;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds on the bodies of requests.
 *
 * @param maxBytes greatest length of a body
 * @param timeout time within which a body must arrive
 */
public record BodyLimits(int maxBytes, Duration timeout) {

    /** Bounds for operators and monitoring: 1 MiB within 10 s. */
    public static final BodyLimits DEFAULT = new BodyLimits(1 << 20, Duration.ofSeconds(10));

    public BodyLimits {
        Objects.requireNonNull(timeout, "timeout");
    }
}
