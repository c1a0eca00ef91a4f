package org.boragethread.core.retry;

import java.time.Duration;
import java.util.Objects;

/**
 * An attempt that could be hedged.
 *
 * @param idempotent whether the stage may run more than once for one request
 * @param timeLeft time left for the stage
 * @param utilisation running and queued calls of the group as a fraction of its limits
 */
public record HedgeRequest(boolean idempotent, Duration timeLeft, double utilisation) {

    public HedgeRequest {
        Objects.requireNonNull(timeLeft, "left");
    }
}
