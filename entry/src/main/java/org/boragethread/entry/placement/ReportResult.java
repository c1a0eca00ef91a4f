package org.boragethread.entry.placement;

/** How a coordinator has responded to reports. */
public enum ReportResult {
    /** The reports are applied. */
    CONFIRMED,

    /** The coordinator does not know what the sender has at the engines. */
    RESTORE_NEEDED,

    /** A later incarnation of the sender is known, so that nothing is applied. */
    REFUSED,

    /** No confirmation came in time. */
    LOST
}
