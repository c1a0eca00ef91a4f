package org.boragethread.core.job;

import java.util.concurrent.CompletableFuture;

/** Runs the stages of a job; the program that embeds this library implements it. */
public interface JobPipeline {

    /**
     * Runs a job from its next stage on. Each result is reported to the progress. Before a
     * non-idempotent stage, {@link JobProgress#effectStarting} must have completed with true, and
     * the stage must run under a claim for {@link JobAssignment#effectKey}.
     */
    Run run(JobAssignment work, JobProgress progress);

    /** A job that is being run. */
    interface Run {

        /** Returns how the run ends; never completes exceptionally. */
        CompletableFuture<JobRunOutcome> outcome();

        /** Stops the run soon; its end is ignored from now on. */
        void cancel();
    }
}
