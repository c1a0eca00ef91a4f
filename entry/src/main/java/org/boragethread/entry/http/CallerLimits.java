package org.boragethread.entry.http;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds on what callers send.
 *
 * @param maxBodyBytes greatest length of a body
 * @param bodyTimeout time within which a body must arrive
 * @param maxHeaderBytes greatest length of the request line and headers
 */
public record CallerLimits(int maxBodyBytes, Duration bodyTimeout, int maxHeaderBytes) {

    public CallerLimits {
        Objects.requireNonNull(bodyTimeout, "bodyTimeout");
    }
}
