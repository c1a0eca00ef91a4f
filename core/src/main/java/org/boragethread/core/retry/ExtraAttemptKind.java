package org.boragethread.core.retry;

/** What an attempt beyond the first costs. */
public enum ExtraAttemptKind {
    /** Work for an upstream. */
    EXTRA_CALL,
    /** A message to another agent after a refusal that no upstream has seen. */
    REDIRECT
}
