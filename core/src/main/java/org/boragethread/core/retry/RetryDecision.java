package org.boragethread.core.retry;

import java.time.Duration;
import java.util.Objects;

/** What to do after a failed attempt. */
public sealed interface RetryDecision {

    /**
     * Try again on an upstream that has not been tried.
     *
     * @param delay time to wait first
     * @param reason why
     */
    record Retry(Duration delay, RetryReason reason) implements RetryDecision {
        public Retry {
            Objects.requireNonNull(delay, "delay");
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * Answer the caller with the failure.
     *
     * @param reason why
     */
    record GiveUp(GiveUpReason reason) implements RetryDecision {
        public GiveUp {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
