package org.boragethread.core.retry;

import java.time.Duration;
import java.util.Objects;

/**
 * An attempt that could be hedged.
 *
 * @param idempotent whether the stage may run more than once for one request
 * @param left time left to the stage
 * @param utilisation running and waiting calls of the group as a share of its limits
 */
public record HedgeRequest(boolean idempotent, Duration timeLeft, double utilisation) {

    public HedgeRequest {
        Objects.requireNonNull(timeLeft, "left");
    }
}
