package org.boragethread.core.claim;

/** What the log says about a key. */
public enum ClaimStatus {
    /** A claim holds and has no outcome yet. */
    OPEN,
    /** A claim holds, and the agent it names could not tell whether the call ran. */
    UNRESOLVED,
    /** The claimed call has run and its outcome is recorded. */
    DONE,
    /** The last claim was released, so that the next one holds. */
    RELEASED,
    /** The log no longer shows who holds the key. */
    UNCERTAIN
}
