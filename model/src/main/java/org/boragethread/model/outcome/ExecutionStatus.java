package org.boragethread.model.outcome;

/** Whether a stage with an effect ran for a request that was refused or failed. */
public enum ExecutionStatus {
    /** No stage with an effect was sent to an upstream. */
    NO,
    /** A stage with an effect was sent to an upstream; its outcome is unknown. */
    UNKNOWN,
    /** A stage with an effect ran. */
    YES
}
