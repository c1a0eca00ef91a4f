package org.boragethread.model.outcome;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * A refused or failed request or call.
 *
 * @param reason why it was refused or failed
 * @param ran whether a stage with an effect ran
 * @param detail what happened and where, in one sentence
 * @param retryAfter delay before a retry, if known
 */
public record Refusal(
        RefusalReason reason, ExecutionStatus ran, String detail, Optional<Duration> retryAfter) {

    public Refusal {
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(ran, "ran");
        Objects.requireNonNull(detail, "detail");
        Objects.requireNonNull(retryAfter, "retryAfter");
    }

    /** Returns a refusal of work that no upstream has received. */
    public static Refusal notRun(RefusalReason reason, String detail) {
        return new Refusal(reason, ExecutionStatus.NO, detail, Optional.empty());
    }

    /** Returns a refusal of work that no upstream has received, with a retry delay. */
    public static Refusal notRun(RefusalReason reason, String detail, Duration retryAfter) {
        return new Refusal(reason, ExecutionStatus.NO, detail, Optional.of(retryAfter));
    }

    /** Returns a failure of work that an upstream may have run. */
    public static Refusal unknown(RefusalReason reason, String detail) {
        return new Refusal(reason, ExecutionStatus.UNKNOWN, detail, Optional.empty());
    }

    /** Returns this refusal with another value of {@code ran}. */
    public Refusal withRan(ExecutionStatus value) {
        return new Refusal(reason, value, detail, retryAfter);
    }
}
