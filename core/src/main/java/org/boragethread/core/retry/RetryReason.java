package org.boragethread.core.retry;

import java.util.Locale;
import java.util.Optional;
import org.boragethread.model.outcome.RefusalReason;

/** Why a call is retried on another upstream. Each reason has its own counter. */
public enum RetryReason {
    /** The agent's queue was full. */
    QUEUE_FULL(ExtraAttemptKind.REDIRECT),
    /** The agent's queue was too long for the time left. */
    DEADLINE_HOPELESS(ExtraAttemptKind.REDIRECT),
    /** The upstream or its data centre is leaving service. */
    LEAVING(ExtraAttemptKind.REDIRECT),
    /** The agent is starting or stopping. */
    NOT_READY(ExtraAttemptKind.REDIRECT),
    /** The circuit breaker is open because recent calls failed. */
    CIRCUIT_OPEN(ExtraAttemptKind.REDIRECT),
    /** The agent could not connect to its upstream. */
    UPSTREAM_UNREACHABLE(ExtraAttemptKind.REDIRECT),
    /** The upstream rejected the call because it is overloaded. */
    UPSTREAM_BUSY(ExtraAttemptKind.EXTRA_CALL),
    /** The upstream failed, or its response was cut short. */
    UPSTREAM_FAILED(ExtraAttemptKind.EXTRA_CALL),
    /** The connection to the agent was lost. */
    CONNECTION_LOST(ExtraAttemptKind.EXTRA_CALL);

    private final ExtraAttemptKind mKind;

    RetryReason(ExtraAttemptKind kind) {
        mKind = kind;
    }

    /** Returns the reason to retry after a refusal; empty if a retry cannot help. */
    public static Optional<RetryReason> of(RefusalReason refusal) {
        for (RetryReason reason : values()) {
            if (reason.name().equals(refusal.name())) {
                return Optional.of(reason);
            }
        }
        return Optional.empty();
    }

    /** Returns the kind of attempt that a retry for this reason is. */
    public ExtraAttemptKind kind() {
        return mKind;
    }

    /** Returns the name used in metrics, such as {@code upstream-busy}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
