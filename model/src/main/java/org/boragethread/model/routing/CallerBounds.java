package org.boragethread.model.routing;

import java.time.Duration;

/**
 * Size and time limits for callers' requests.
 *
 * @param headerBytes maximum size of a request's head, in bytes
 * @param bodyBytes maximum size of a request's body, in bytes
 * @param headerTimeout maximum time for a request's head to arrive
 * @param idleTimeout maximum time that a connection may stay idle
 */
public record CallerBounds(
        int headerBytes, long bodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** Limits that apply until a configuration has been read. */
    public static final CallerBounds INITIAL =
            new CallerBounds(16384, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
