package org.boragethread.core.claim;

/** Status of a key according to its claim stream. */
public enum ClaimStatus {
    /** A claim holds the key and has no outcome yet. */
    OPEN,
    /** A claim holds the key, and its agent could not tell whether the call ran. */
    UNRESOLVED,
    /** The claimed call has run and its outcome is recorded. */
    DONE,
    /** The last claim was released; the next claim wins. */
    RELEASED,
    /** The records that show who holds the key can no longer be read. */
    UNCERTAIN
}
