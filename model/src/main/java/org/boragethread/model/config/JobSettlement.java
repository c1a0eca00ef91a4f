package org.boragethread.model.config;

/** What an operator found out about a job whose outcome was unknown. */
public enum JobSettlement {
    /** The job's effect took place. */
    RAN,
    /** The job's effect did not take place, so that it may run again. */
    NOT_RUN
}
