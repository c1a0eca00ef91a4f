package org.boragethread.entry.gateway;

import java.time.Duration;
import org.boragethread.model.outcome.RefusalReason;

/** Ends a request without a response from an upstream. */
@FunctionalInterface
interface RequestEnd {

    /**
     * Ends the request.
     *
     * @param retryAfter delay before a retry, given to the caller if the request did not run
     */
    void fail(RefusalReason reason, String detail, Duration retryAfter);
}
