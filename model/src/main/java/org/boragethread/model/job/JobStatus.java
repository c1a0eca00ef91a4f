package org.boragethread.model.job;

/** Where a job stands. */
public enum JobStatus {
    /**
     * A submission with a key is in the log, but is not yet confirmed. It is forgotten if no
     * confirmation comes.
     */
    SUBMITTED,
    /** No entry runs the job now. */
    WAITING,
    /** An entry holds a lease on the job. */
    RUNNING,
    /** It is not known whether a stage with an effect ran; an operator must settle it. */
    HELD,
    /** The job has its result. */
    FINISHED,
    /** The job ended without a good result and will not run again. */
    FAILED,
    /** A caller or an operator ended the job. */
    CANCELLED;

    /** Tells whether nothing can change the job any more. */
    public boolean isFinal() {
        return this == FINISHED || this == FAILED || this == CANCELLED;
    }
}
