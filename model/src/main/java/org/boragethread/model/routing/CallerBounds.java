package org.boragethread.model.routing;

import java.time.Duration;

/**
 * Bounds on what callers send.
 *
 * @param headerBytes greatest size of a request's head, in bytes
 * @param bodyBytes greatest size of a request's body, in bytes
 * @param headerTimeout longest time for a request's head to arrive
 * @param idleTimeout longest time that a connection may stay idle
 */
public record CallerBounds(
        int headerBytes, long bodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** Bounds that hold until a configuration is known. */
    public static final CallerBounds INITIAL =
            new CallerBounds(16384, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
