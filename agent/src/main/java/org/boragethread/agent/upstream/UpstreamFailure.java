package org.boragethread.agent.upstream;

import java.util.Objects;

/**
 * Why there is no whole response.
 *
 * @param sent whether any byte of the request may have reached the upstream
 * @param detail what happened
 */
public record UpstreamFailure(boolean sent, String detail) {

    public UpstreamFailure {
        Objects.requireNonNull(detail, "detail");
    }
}
