package org.boragethread.core.job;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.job.JobId;
import org.boragethread.model.job.JobResult;
import org.boragethread.model.job.JobStatus;
import org.boragethread.model.outcome.Refusal;

/** One run of a job under one lease. */
final class JobRun implements JobProgress {

    private static final Logger LOGGER = LogManager.getLogger(JobRun.class);
    private static final int RENEWALS_PER_LEASE = 3;
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);
    private static final byte[] EMPTY = new byte[0];

    private final Context mContext;
    private final Job mJob;
    private final long mFence;
    private final AtomicBoolean mEnded = new AtomicBoolean();
    private volatile long mLeaseEndNanos;
    private volatile Optional<JobPipeline.Run> mRun = Optional.empty();

    JobRun(Context context, Job job, long leaseStartNanos) {
        mContext = context;
        mJob = job;
        mFence = job.lease().orElseThrow().fence();
        mLeaseEndNanos = leaseStartNanos + leaseNanos();
    }

    JobId id() {
        return mJob.id();
    }

    private long leaseNanos() {
        return mContext.service().settings().lease().toNanos();
    }

    private Duration renewalInterval() {
        return mContext.service().settings().lease().dividedBy(RENEWALS_PER_LEASE);
    }

    void start() {
        attempt(this::begin);
    }

    private void begin() {
        scheduleRenewal();
        if (isEffectTooOld()) {
            int stage = mJob.stagesDone();
            recordOutcome(
                    new JobRunOutcome.EffectUnknown(
                            stage, "the claim of stage %d is too old".formatted(stage)));
            return;
        }
        mContext.service()
                .blobs()
                .read(mJob.input())
                .thenAccept(this::onInput)
                .exceptionally(this::onStepFailed);
    }

    // Claims expire after their retention; an older effect could then run a second time.
    private boolean isEffectTooOld() {
        long maxAge = mContext.service().settings().effectMaxAge().toMillis();
        long now = mContext.service().table().logMillis();
        return mJob.effect().filter(e -> now - e.timeMillis() >= maxAge).isPresent();
    }

    private void onInput(Optional<byte[]> input) {
        if (input.isEmpty()) {
            recordOutcome(
                    new JobRunOutcome.Retry(
                            renewalInterval(), false, "the input cannot be read now"));
            return;
        }
        if (mEnded.get()) {
            return;
        }
        begin(new JobAssignment(mJob, mFence, input.get()));
    }

    private void begin(JobAssignment assignment) {
        JobPipeline.Run run;
        try {
            run = mContext.pipeline().run(assignment, this);
        } catch (RuntimeException e) {
            recordOutcome(failedInPipeline(e));
            return;
        }
        mRun = Optional.of(run);
        run.outcome()
                .exceptionally(this::failedInPipeline)
                .thenAccept(this::recordOutcome)
                .exceptionally(this::onStepFailed);
        if (mEnded.get()) {
            run.cancel();
        }
    }

    private JobRunOutcome failedInPipeline(Throwable error) {
        LOGGER.error("run of job {} failed with an exception", id(), error);
        return new JobRunOutcome.Retry(
                renewalInterval(), false, "fault in the entry that ran the job");
    }

    /** Stops the run, whose lease then expires, so that the job can be continued. */
    private Void onStepFailed(Throwable error) {
        LOGGER.error("a step of the run of job {} failed", id(), error);
        stop("a step failed");
        return null;
    }

    /** Runs a step; if it throws, the run is stopped. */
    private void attempt(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            onStepFailed(e);
        }
    }

    private void scheduleRenewal() {
        mContext.scheduler().schedule(renewalInterval(), () -> attempt(this::renew));
    }

    private void renew() {
        stopIfLeaseLost();
        if (mEnded.get()) {
            return;
        }
        long startNanos = mContext.time().nanoTime();
        long leaseMillis = mContext.service().settings().lease().toMillis();
        JobRecord record = new JobRecord.LeaseRenewed(id(), mFence, leaseMillis);
        mContext.service()
                .write(record, EMPTY, renewalInterval())
                .thenAccept(result -> onRenewed(startNanos, result))
                .exceptionally(this::onStepFailed);
    }

    private void onRenewed(long startNanos, Either<Refusal, JobApplyResult> result) {
        if (result.isRight() && !result.get().isApplied()) {
            stop("lease superseded or job ended");
            return;
        }
        if (result.isRight()) {
            mLeaseEndNanos = startNanos + leaseNanos();
            scheduleRenewal();
        } else {
            retryLater(this::renew);
        }
    }

    /** Stops the run if its lease has expired or was superseded. */
    void stopIfLeaseLost() {
        if (mContext.time().nanoTime() - mLeaseEndNanos >= 0) {
            stop("lease expired");
            return;
        }
        boolean isHeld =
                mContext.service().find(id()).filter(job -> job.isLeasedUnder(mFence)).isPresent();
        if (!isHeld) {
            stop("lease superseded or job ended");
        }
    }

    /** Stops the run and releases its lease. */
    void release() {
        mRun.ifPresent(JobPipeline.Run::cancel);
        recordOutcome(new JobRunOutcome.Retry(Duration.ZERO, false, "its entry stopped"));
    }

    private void stop(String reason) {
        if (mEnded.compareAndSet(false, true)) {
            LOGGER.info("run of job {} stopped: {}", id(), reason);
            mRun.ifPresent(JobPipeline.Run::cancel);
            mContext.onEnded().accept(this);
        }
    }

    @Override
    public CompletableFuture<Boolean> effectStarting(int stage) {
        return record(new JobRecord.EffectStarted(id(), mFence, stage), EMPTY);
    }

    @Override
    public CompletableFuture<Boolean> stageDone(int stage, String contentType, byte[] result) {
        return mContext.service()
                .blobs()
                .prepare(id(), contentType, result)
                .thenCompose(
                        blob ->
                                blob.isLeft()
                                        ? CompletableFuture.completedFuture(false)
                                        : recordStageDone(stage, blob.get()));
    }

    private CompletableFuture<Boolean> recordStageDone(int stage, BlobStore.Prepared result) {
        JobRecord record = new JobRecord.StageDone(id(), mFence, stage, result.blob());
        return record(record, result.payload());
    }

    private CompletableFuture<Boolean> record(JobRecord record, byte[] payload) {
        if (mEnded.get()) {
            return CompletableFuture.completedFuture(false);
        }
        return mContext.service()
                .write(record, payload, mContext.service().settings().appendTimeout())
                .thenApply(result -> result.isRight() && result.get().isApplied());
    }

    private void recordOutcome(JobRunOutcome outcome) {
        if (outcome instanceof JobRunOutcome.Completed completed) {
            storeResult(completed.result(), blob -> finished(completed.result(), false, "", blob));
        } else if (outcome instanceof JobRunOutcome.Failed failed) {
            storeResult(
                    failed.problem(),
                    blob -> finished(failed.problem(), true, failed.detail(), blob));
        } else if (outcome instanceof JobRunOutcome.EffectUnknown unknown) {
            JobRecord record = new JobRecord.Held(id(), mFence, unknown.stage(), unknown.detail());
            writeOutcome(record, EMPTY);
        } else if (outcome instanceof JobRunOutcome.Retry retry) {
            long delay = retry.delay().toMillis();
            writeOutcome(
                    new JobRecord.LeaseReleased(
                            id(), mFence, delay, retry.effectNotRun(), retry.detail()),
                    EMPTY);
        }
    }

    private JobRecord finished(JobResult result, boolean failed, String detail, Blob blob) {
        return new JobRecord.Finished(id(), mFence, result.status(), failed, detail, blob);
    }

    private void storeResult(JobResult result, Function<Blob, JobRecord> toRecord) {
        if (mEnded.get()) {
            return;
        }
        mContext.service()
                .blobs()
                .prepare(id(), result.contentType(), result.body())
                .thenAccept(
                        blob -> {
                            if (blob.isRight()) {
                                writeOutcome(
                                        toRecord.apply(blob.get().blob()), blob.get().payload());
                            } else {
                                retryLater(() -> storeResult(result, toRecord));
                            }
                        })
                .exceptionally(this::onStepFailed);
    }

    // Retries until the outcome is recorded or the lease is lost.
    private void writeOutcome(JobRecord record, byte[] payload) {
        if (mEnded.get()) {
            return;
        }
        mContext.service()
                .write(record, payload, mContext.service().settings().appendTimeout())
                .thenAccept(
                        result -> {
                            if (result.isLeft()) {
                                retryLater(() -> writeOutcome(record, payload));
                            } else {
                                onOutcomeRecorded();
                            }
                        })
                .exceptionally(this::onStepFailed);
    }

    private void retryLater(Runnable task) {
        mContext.scheduler().schedule(RETRY_DELAY, () -> attempt(task));
    }

    private void onOutcomeRecorded() {
        JobStatus status =
                mContext.service().find(id()).map(Job::status).orElse(JobStatus.CANCELLED);
        LOGGER.info("run of job {} ended with job status {}", id(), status);
        if (mEnded.compareAndSet(false, true)) {
            mContext.onEnded().accept(this);
        }
    }

    /**
     * Collaborators of a run.
     *
     * @param service the job service
     * @param pipeline runs the stages
     * @param scheduler runs delayed tasks
     * @param time the clock
     * @param onEnded called when the run has ended
     */
    record Context(
            JobService service,
            JobPipeline pipeline,
            Scheduler scheduler,
            TimeSource time,
            Consumer<JobRun> onEnded) {}
}
