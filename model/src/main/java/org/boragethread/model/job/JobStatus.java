package org.boragethread.model.job;

/** Status of a job. */
public enum JobStatus {
    /**
     * A submission with an idempotency key is in the log, but is not yet confirmed. It is dropped
     * if no confirmation follows.
     */
    SUBMITTED,
    /** The job waits for an entry to run it. */
    WAITING,
    /** An entry holds a lease on the job. */
    RUNNING,
    /** It is unknown whether a stage with an effect ran; an operator must settle the job. */
    HELD,
    /** The job has its result. */
    FINISHED,
    /** The job ended without a successful result and will not run again. */
    FAILED,
    /** A caller or an operator cancelled the job. */
    CANCELLED;

    /** Returns whether this status is terminal. */
    public boolean isFinal() {
        return this == FINISHED || this == FAILED || this == CANCELLED;
    }
}
