package org.boragethread.model.job;

/** What an operator decides about a job that is held as unknown. */
public enum JobDecision {
    /** The effect took place: the job ends as finished, with an empty result. */
    RAN,
    /** The effect did not take place: the stage runs again. */
    NOT_RUN,
    /** The job is given up. */
    ABANDON
}
