package org.boragethread.model.config;

/** Outcome, as found by an operator, of a job that is held because its outcome was unknown. */
public enum JobSettlement {
    /** The job's effect took place. */
    RAN,
    /** The job's effect did not take place, so the job may run again. */
    NOT_RUN
}
