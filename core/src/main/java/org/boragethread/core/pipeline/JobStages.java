package org.boragethread.core.pipeline;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.boragethread.core.job.JobEnd;
import org.boragethread.core.job.JobPipeline;
import org.boragethread.core.job.JobProgress;
import org.boragethread.core.job.JobWork;
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
 * One run of a job: each stage is a request of its own, so that its result is kept before the next
 * one begins. Only one stage is under way at a time.
 */
final class JobStages implements JobPipeline.Run, ResponseSink {

    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
    private static final int GOOD_FROM = 200;
    private static final int GOOD_BELOW = 300;

    private final PipelineController mPipelines;
    private final JobWork mWork;
    private final JobProgress mProgress;
    private final Optional<Pipeline> mPipeline;
    private final Optional<Team> mTeam;
    private final CompletableFuture<JobEnd> mEnd = new CompletableFuture<>();
    private final AtomicBoolean mCancelled = new AtomicBoolean();
    private volatile int mIndex;
    private volatile String mContentType;
    private volatile byte[] mInput;
    private volatile Optional<RunHandle> mHandle = Optional.empty();

    JobStages(
            PipelineController pipelines,
            Configuration configuration,
            JobWork work,
            JobProgress progress) {
        mPipelines = pipelines;
        mWork = work;
        mProgress = progress;
        mPipeline = configuration.pipeline(work.job().spec().pipeline());
        mTeam = configuration.team(work.job().spec().team());
        mIndex = work.fromStage();
        mContentType = work.job().input().contentType();
        mInput = work.input();
    }

    void start() {
        if (mPipeline.isEmpty() || mTeam.isEmpty()) {
            later("its pipeline or its team is not configured", Optional.empty());
        } else if (mIndex >= mPipeline.get().stages().size()) {
            later("its pipeline has fewer stages than the job has done", Optional.empty());
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
                                later("the beginning of an effect was not kept", Optional.empty());
                            }
                        });
    }

    private void send() {
        if (mCancelled.get()) {
            return;
        }
        RunHandle handle = mPipelines.start(request(), this, EffectKeys.JOB);
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

    // Each stage has a name of its own, so that observed times of stages are not mixed.
    private Pipeline stageAsPipeline() {
        Pipeline whole = mPipeline.orElseThrow();
        String suffix = ".job" + mIndex;
        String name = whole.id().value();
        int length = Math.min(name.length(), Names.MAX_LENGTH - suffix.length());
        PipelineId id = new PipelineId(name.substring(0, length) + suffix);
        return new Pipeline(id, List.of(stage()), whole.deadline(), whole.goal());
    }

    @Override
    public void onAnswer(PipelineAnswer answer) {
        JobResult result = new JobResult(answer.status(), answer.contentType(), answer.body());
        if (answer.status() < GOOD_FROM || answer.status() >= GOOD_BELOW) {
            String detail =
                    "stage \"%s\" answered with status %d"
                            .formatted(stage().name(), answer.status());
            mEnd.complete(new JobEnd.Failed(result, detail));
        } else if (isLastStage()) {
            mEnd.complete(new JobEnd.Completed(result));
        } else {
            mProgress
                    .stageDone(mIndex, answer.contentType(), answer.body())
                    .thenAccept(isKept -> onStageKept(isKept, answer));
        }
    }

    // A stage that was not kept may run again with another result, which must not reach an effect.
    private void onStageKept(boolean isKept, PipelineAnswer answer) {
        if (!isKept) {
            later("the result of a stage was not kept", Optional.empty());
            return;
        }
        mContentType = answer.contentType();
        mInput = answer.body();
        mIndex++;
        runStage();
    }

    @Override
    public void onRefused(Refusal refusal) {
        if (!stage().idempotent() && refusal.reason() == RefusalReason.KEY_OUTCOME_UNKNOWN) {
            mEnd.complete(new JobEnd.Unknown(mIndex, refusal.detail()));
        } else {
            later(
                    "%s: %s".formatted(refusal.reason().label(), refusal.detail()),
                    refusal.retryAfter());
        }
    }

    // Another run makes the same claim, so nothing is said about the effect here.
    private void later(String detail, Optional<Duration> delay) {
        mEnd.complete(new JobEnd.Later(delay.orElse(RETRY_DELAY), false, detail));
    }

    @Override
    public void onStreamStart() {
        throw new IllegalStateException("stages of jobs are not streamed");
    }

    @Override
    public void onStreamEvent(ByteBuffer event, Runnable onSent) {
        throw new IllegalStateException("stages of jobs are not streamed");
    }

    @Override
    public void onStreamEnd() {
        throw new IllegalStateException("stages of jobs are not streamed");
    }

    @Override
    public CompletableFuture<JobEnd> end() {
        return mEnd;
    }

    @Override
    public void cancel() {
        mCancelled.set(true);
        mHandle.ifPresent(RunHandle::cancel);
    }
}
