package org.boragethread.core.job;

import java.time.Duration;
import org.boragethread.model.job.JobResult;

/** How one run of a job ends. */
public sealed interface JobRunOutcome {

    /**
     * All stages have their results.
     *
     * @param result result of the last stage
     */
    record Completed(JobResult result) implements JobRunOutcome {}

    /**
     * The job cannot succeed, also not later.
     *
     * @param problem the problem document for the caller
     * @param detail what happened, in one sentence
     */
    record Failed(JobResult problem, String detail) implements JobRunOutcome {}

    /**
     * Nobody can tell whether a stage with an effect ran.
     *
     * @param stage index of the stage
     * @param detail what happened, in one sentence
     */
    record EffectUnknown(int stage, String detail) implements JobRunOutcome {}

    /**
     * The job may succeed later.
     *
     * @param delay time until the next run
     * @param effectNotRun whether it is certain that the begun effect, if any, did not run
     * @param detail what happened, in one sentence
     */
    record Retry(Duration delay, boolean effectNotRun, String detail) implements JobRunOutcome {}
}
