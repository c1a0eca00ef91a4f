package org.boragethread.model.job;

/** An operator's decision on a job that is held because its outcome is unknown. */
public enum JobDecision {
    /** The effect took place: the job ends as finished, with an empty result. */
    RAN,
    /** The effect did not take place: the stage runs again. */
    NOT_RUN,
    /** The job is abandoned. */
    ABANDON
}
