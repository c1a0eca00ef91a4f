package org.boragethread.agent.upstream;

import java.util.Objects;

/**
 * Reason why no complete response was received.
 *
 * @param maybeSent whether any byte of the request may have reached the upstream
 * @param detail description of the failure
 */
public record UpstreamFailure(boolean maybeSent, String detail) {

    public UpstreamFailure {
        Objects.requireNonNull(detail, "detail");
    }
}
