package org.boragethread.core.retry;

import java.util.Locale;
import java.util.Optional;
import org.boragethread.model.outcome.RefusalReason;

/** Why a call is tried again on another upstream. Each reason has a counter of its own. */
public enum RetryReason {
    /** The agent's queue was full. */
    QUEUE_FULL(ExtraKind.REDIRECT),
    /** The agent's queue was too long for the time left. */
    DEADLINE_HOPELESS(ExtraKind.REDIRECT),
    /** The upstream or its data centre is leaving. */
    LEAVING(ExtraKind.REDIRECT),
    /** The agent is starting or stopping. */
    NOT_READY(ExtraKind.REDIRECT),
    /** The upstream is not called because recent calls failed. */
    CIRCUIT_OPEN(ExtraKind.REDIRECT),
    /** The agent could not connect to its upstream. */
    UPSTREAM_UNREACHABLE(ExtraKind.REDIRECT),
    /** The upstream refused the call. */
    UPSTREAM_BUSY(ExtraKind.EXTRA_CALL),
    /** The upstream failed, or its answer was cut. */
    UPSTREAM_FAILED(ExtraKind.EXTRA_CALL),
    /** The connection to the agent broke. */
    CONNECTION_LOST(ExtraKind.EXTRA_CALL);

    private final ExtraKind mKind;

    RetryReason(ExtraKind kind) {
        mKind = kind;
    }

    /** Returns the reason to try again after a refusal; empty if trying again cannot help. */
    public static Optional<RetryReason> of(RefusalReason refusal) {
        for (RetryReason reason : values()) {
            if (reason.name().equals(refusal.name())) {
                return Optional.of(reason);
            }
        }
        return Optional.empty();
    }

    /** Returns what the budget counts such a retry as. */
    public ExtraKind kind() {
        return mKind;
    }

    /** Returns the name used in metrics, such as {@code upstream-busy}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
