package org.boragethread.agent.upstream;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Status line and headers of an upstream's response.
 *
 * @param status HTTP status code
 * @param contentType media type of the body
 * @param notRun whether the upstream states that it did not run the request
 * @param retryAfter how long the upstream asks to wait before the next attempt, if stated
 * @param load value of the load header, if present
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
