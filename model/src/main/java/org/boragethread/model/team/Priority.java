package org.boragethread.model.team;

/** Order in which waiting work is admitted; earlier constants go first. */
public enum Priority {
    /** A person waits for the answer. */
    INTERACTIVE,
    /** A program waits for the answer. */
    NORMAL,
    /** Jobs, which use capacity that is idle. */
    BATCH
}
