package org.boragethread.core.pipeline;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.boragethread.core.job.JobAssignment;
import org.boragethread.core.job.JobPipeline;
import org.boragethread.core.job.JobProgress;
import org.boragethread.core.job.JobRunOutcome;
import org.boragethread.model.Names;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.job.JobResult;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.outcome.RequestId;
import org.boragethread.model.pipeline.Pipeline;
import org.boragethread.model.pipeline.PipelineId;
import org.boragethread.model.pipeline.Stage;
import org.boragethread.model.team.Priority;
import org.boragethread.model.team.Team;

/**
 * One run of a job. Each stage is sent as a separate request, so that its result is stored before
 * the next stage starts. Only one stage runs at a time.
 */
final class JobPipelineRun implements JobPipeline.Run, ResponseSink {

    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
    private static final int MIN_SUCCESS_STATUS = 200;
    private static final int SUCCESS_STATUS_END = 300;

    private final PipelineController mPipelines;
    private final JobAssignment mWork;
    private final JobProgress mProgress;
    private final Optional<Pipeline> mPipeline;
    private final Optional<Team> mTeam;
    private final CompletableFuture<JobRunOutcome> mEnd = new CompletableFuture<>();
    private final AtomicBoolean mCancelled = new AtomicBoolean();
    private volatile int mIndex;
    private volatile String mContentType;
    private volatile byte[] mInput;
    private volatile Optional<RunHandle> mHandle = Optional.empty();

    JobPipelineRun(
            PipelineController pipelines,
            Configuration configuration,
            JobAssignment work,
            JobProgress progress) {
        mPipelines = pipelines;
        mWork = work;
        mProgress = progress;
        mPipeline = configuration.pipeline(work.job().spec().pipeline());
        mTeam = configuration.team(work.job().spec().team());
        mIndex = work.firstStage();
        mContentType = work.job().input().contentType();
        mInput = work.input();
    }

    void start() {
        if (mPipeline.isEmpty() || mTeam.isEmpty()) {
            endWithRetry("its pipeline or its team is not configured", Optional.empty());
        } else if (mIndex >= mPipeline.get().stages().size()) {
            endWithRetry("its pipeline has fewer stages than the job has done", Optional.empty());
        } else {
            runStage();
        }
    }

    private Stage stage() {
        return mPipeline.orElseThrow().stages().get(mIndex);
    }

    private boolean isLastStage() {
        return mIndex == mPipeline.orElseThrow().stages().size() - 1;
    }

    private void runStage() {
        if (stage().idempotent()) {
            send();
            return;
        }
        mProgress
                .effectStarting(mIndex)
                .thenAccept(
                        mayStart -> {
                            if (mayStart) {
                                send();
                            } else {
                                endWithRetry(
                                        "the beginning of an effect was not kept",
                                        Optional.empty());
                            }
                        });
    }

    private void send() {
        if (mCancelled.get()) {
            return;
        }
        RunHandle handle = mPipelines.start(request(), this, ClaimKeyStrategy.JOB);
        mHandle = Optional.of(handle);
        if (mCancelled.get()) {
            handle.cancel();
        }
    }

    private PipelineRequest request() {
        Pipeline pipeline = stageAsPipeline();
        long deadline = mPipelines.time().nanoTime() + pipeline.deadline().toNanos();
        Optional<String> key =
                stage().idempotent() ? Optional.empty() : Optional.of(mWork.effectKey(mIndex));
        return new PipelineRequest(
                RequestId.of(UUID.randomUUID()),
                pipeline,
                mTeam.orElseThrow(),
                Priority.BATCH,
                deadline,
                key,
                mContentType,
                ByteBuffer.wrap(mInput),
                false);
    }

    // Each stage gets its own pipeline ID, so that the measured times of stages are kept apart.
    private Pipeline stageAsPipeline() {
        Pipeline pipeline = mPipeline.orElseThrow();
        String suffix = ".job" + mIndex;
        String name = pipeline.id().value();
        int length = Math.min(name.length(), Names.MAX_LENGTH - suffix.length());
        PipelineId id = new PipelineId(name.substring(0, length) + suffix);
        return new Pipeline(id, List.of(stage()), pipeline.deadline(), pipeline.goal());
    }

    @Override
    public void onResponse(PipelineResponse response) {
        JobResult result =
                new JobResult(response.status(), response.contentType(), response.body());
        if (response.status() < MIN_SUCCESS_STATUS || response.status() >= SUCCESS_STATUS_END) {
            String detail =
                    "stage \"%s\" answered with status %d"
                            .formatted(stage().name(), response.status());
            mEnd.complete(new JobRunOutcome.Failed(result, detail));
        } else if (isLastStage()) {
            mEnd.complete(new JobRunOutcome.Completed(result));
        } else {
            mProgress
                    .stageDone(mIndex, response.contentType(), response.body())
                    .thenAccept(isStored -> onStageStored(isStored, response));
        }
    }

    // A stage whose result was not stored may run again with another result, so the current result
    // must not be passed on to a non-idempotent stage.
    private void onStageStored(boolean isStored, PipelineResponse response) {
        if (!isStored) {
            endWithRetry("the result of a stage was not kept", Optional.empty());
            return;
        }
        mContentType = response.contentType();
        mInput = response.body();
        mIndex++;
        runStage();
    }

    @Override
    public void onRefused(Refusal refusal) {
        if (!stage().idempotent() && refusal.reason() == RefusalReason.KEY_OUTCOME_UNKNOWN) {
            mEnd.complete(new JobRunOutcome.EffectUnknown(mIndex, refusal.detail()));
        } else {
            endWithRetry(
                    "%s: %s".formatted(refusal.reason().label(), refusal.detail()),
                    refusal.retryAfter());
        }
    }

    // Leaves open whether the stage ran: the next run makes the same claim, which shows it.
    private void endWithRetry(String detail, Optional<Duration> delay) {
        mEnd.complete(new JobRunOutcome.Retry(delay.orElse(RETRY_DELAY), false, detail));
    }

    @Override
    public void onStreamStart() {
        throw new IllegalStateException("job stages do not stream their results");
    }

    @Override
    public void onStreamEvent(ByteBuffer event, Runnable onSent) {
        throw new IllegalStateException("job stages do not stream their results");
    }

    @Override
    public void onStreamEnd() {
        throw new IllegalStateException("job stages do not stream their results");
    }

    @Override
    public CompletableFuture<JobRunOutcome> outcome() {
        return mEnd;
    }

    @Override
    public void cancel() {
        mCancelled.set(true);
        mHandle.ifPresent(RunHandle::cancel);
    }
}
