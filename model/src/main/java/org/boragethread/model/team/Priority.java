package org.boragethread.model.team;

/** Admission priority of waiting work; earlier constants are admitted first. */
public enum Priority {
    /** A person waits for the response. */
    INTERACTIVE,
    /** A program waits for the response. */
    NORMAL,
    /** Jobs, which use idle capacity. */
    BATCH
}
