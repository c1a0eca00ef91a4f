package org.boragethread.entry.http;

import java.time.Duration;
import java.util.Objects;

/**
 * Size and time limits for callers' requests.
 *
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param bodyTimeout maximum time for a request body to arrive
 * @param maxHeaderBytes maximum size of the request line and headers, in bytes
 */
public record CallerLimits(int maxBodyBytes, Duration bodyTimeout, int maxHeaderBytes) {

    public CallerLimits {
        Objects.requireNonNull(bodyTimeout, "bodyTimeout");
    }
}
