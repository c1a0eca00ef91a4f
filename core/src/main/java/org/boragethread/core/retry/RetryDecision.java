package org.boragethread.core.retry;

import java.time.Duration;
import java.util.Objects;

/** Decision on a failed attempt. */
public sealed interface RetryDecision {

    /**
     * Retry on an upstream that has not been tried.
     *
     * @param delay time to wait before the retry
     * @param reason why the attempt is retried
     */
    record Retry(Duration delay, RetryReason reason) implements RetryDecision {
        public Retry {
            Objects.requireNonNull(delay, "delay");
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * Return the failure to the caller.
     *
     * @param reason why the attempt is not retried
     */
    record GiveUp(GiveUpReason reason) implements RetryDecision {
        public GiveUp {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
