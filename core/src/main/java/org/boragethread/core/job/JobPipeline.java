package org.boragethread.core.job;

import java.util.concurrent.CompletableFuture;

/** Runs the stages of a job; implemented by the application that embeds this library. */
public interface JobPipeline {

    /**
     * Runs a job, starting at its next stage, and reports the result of each stage to {@code
     * progress}. Before a non-idempotent stage is sent, {@link JobProgress#effectStarting} must
     * have completed with true, and the stage must run under a claim for {@link
     * JobAssignment#effectKey}.
     */
    Run run(JobAssignment assignment, JobProgress progress);

    /** A running job. */
    interface Run {

        /** Returns the outcome of the run; never completes exceptionally. */
        CompletableFuture<JobRunOutcome> outcome();

        /** Requests that the run stop; its outcome is ignored from now on. */
        void cancel();
    }
}
