package org.boragethread.core.retry;

/** Kind of an attempt beyond the first, by its cost. */
public enum ExtraAttemptKind {
    /** A call that an upstream may have to process. */
    EXTRA_CALL,
    /**
     * A request to another agent after the call was refused before it reached an upstream; it costs
     * only messages.
     */
    REDIRECT
}
