package org.boragethread.process.monitor;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits for request bodies.
 *
 * @param maxBytes maximum length of a body, in bytes
 * @param timeout maximum time until a body has arrived completely
 */
public record BodyLimits(int maxBytes, Duration timeout) {

    /** Limits for operator and monitoring requests: 1 MiB within 10 s. */
    public static final BodyLimits DEFAULT = new BodyLimits(1 << 20, Duration.ofSeconds(10));

    public BodyLimits {
        Objects.requireNonNull(timeout, "timeout");
    }
}
