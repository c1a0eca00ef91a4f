package org.boragethread.core.pipeline;

import java.util.Objects;
import java.util.function.Supplier;
import org.boragethread.core.job.JobAssignment;
import org.boragethread.core.job.JobPipeline;
import org.boragethread.core.job.JobProgress;
import org.boragethread.model.config.Configuration;

/** Runs the stages of jobs as requests of the lowest priority, using the current configuration. */
public final class DefaultJobPipeline implements JobPipeline {

    private final PipelineController mPipelines;
    private final Supplier<Configuration> mConfiguration;

    /** Creates an instance that runs jobs with the given controller, which must have claims. */
    public DefaultJobPipeline(PipelineController pipelines, Supplier<Configuration> configuration) {
        mPipelines = Objects.requireNonNull(pipelines, "pipelines");
        mConfiguration = Objects.requireNonNull(configuration, "configuration");
        if (pipelines.claims().isEmpty()) {
            throw new IllegalArgumentException(
                    "jobs require claims: create the controller with a claim service");
        }
    }

    @Override
    public Run run(JobAssignment work, JobProgress progress) {
        JobPipelineRun run = new JobPipelineRun(mPipelines, mConfiguration.get(), work, progress);
        run.start();
        return run;
    }
}
