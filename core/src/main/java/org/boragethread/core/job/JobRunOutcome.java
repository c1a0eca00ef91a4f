package org.boragethread.core.job;

import java.time.Duration;
import org.boragethread.model.job.JobResult;

/** Outcome of one run of a job. */
public sealed interface JobRunOutcome {

    /**
     * All stages are completed.
     *
     * @param result result of the last stage
     */
    record Completed(JobResult result) implements JobRunOutcome {}

    /**
     * The job failed and is not run again.
     *
     * @param problem the problem document for the caller
     * @param detail what happened, in one sentence
     */
    record Failed(JobResult problem, String detail) implements JobRunOutcome {}

    /**
     * It is unknown whether a stage with an effect ran.
     *
     * @param stage index of the stage
     * @param detail what happened, in one sentence
     */
    record EffectUnknown(int stage, String detail) implements JobRunOutcome {}

    /**
     * The job is to run again later.
     *
     * @param delay time until the next run
     * @param effectNotRun whether the started effect, if any, certainly did not run
     * @param detail what happened, in one sentence
     */
    record Retry(Duration delay, boolean effectNotRun, String detail) implements JobRunOutcome {}
}
