package org.boragethread.agent.upstream;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Status and headers of an upstream's response.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param notRun whether the upstream states that it did no work
 * @param retryAfter when the upstream asks to be called again
 * @param load text of the load header, if present
 */
public record UpstreamHead(
        int status,
        String contentType,
        boolean notRun,
        Optional<Duration> retryAfter,
        Optional<String> load) {

    public UpstreamHead {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(retryAfter, "retryAfter");
        Objects.requireNonNull(load, "load");
    }
}
