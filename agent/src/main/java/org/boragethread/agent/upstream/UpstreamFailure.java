package org.boragethread.agent.upstream;

import java.util.Objects;

/**
 * Reason why no complete response was received.
 *
 * @param sent whether any byte of the request may have reached the upstream
 * @param detail description of the failure
 */
public record UpstreamFailure(boolean sent, String detail) {

    public UpstreamFailure {
        Objects.requireNonNull(detail, "detail");
    }
}
