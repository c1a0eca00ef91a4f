package org.boragethread.model.outcome;

/** Whether a stage with an effect was run for a request that has no good answer. */
public enum Ran {
    /** No stage with an effect was handed to an upstream. */
    NO,
    /** A stage with an effect was handed to an upstream and its fate is not known. */
    UNKNOWN,
    /** A stage with an effect was run. */
    YES
}
