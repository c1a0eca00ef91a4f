package org.boragethread.core.pipeline;

import java.util.Objects;
import java.util.function.Supplier;
import org.boragethread.core.job.JobPipeline;
import org.boragethread.core.job.JobProgress;
import org.boragethread.core.job.JobWork;
import org.boragethread.model.config.Configuration;

/** Runs the stages of jobs as requests of the lowest priority, using the current configuration. */
public final class PipelineJobs implements JobPipeline {

    private final PipelineController mPipelines;
    private final Supplier<Configuration> mConfiguration;

    /** Creates an instance that runs jobs with the given controller, which must have claims. */
    public PipelineJobs(PipelineController pipelines, Supplier<Configuration> configuration) {
        mPipelines = Objects.requireNonNull(pipelines, "pipelines");
        mConfiguration = Objects.requireNonNull(configuration, "configuration");
        if (pipelines.claims().isEmpty()) {
            throw new IllegalArgumentException(
                    "jobs require claims: create the controller with a claim service");
        }
    }

    @Override
    public Run run(JobWork work, JobProgress progress) {
        JobStages stages = new JobStages(mPipelines, mConfiguration.get(), work, progress);
        stages.start();
        return stages;
    }
}
