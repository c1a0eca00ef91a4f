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

/** One run of one job under one lease. */
final class JobRun implements JobProgress {

    private static final Logger LOGGER = LogManager.getLogger(JobRun.class);
    private static final int RENEWALS_PER_LEASE = 3;
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);
    private static final byte[] NOTHING = new byte[0];

    private final Context mContext;
    private final Job mJob;
    private final long mFence;
    private final AtomicBoolean mIsOver = new AtomicBoolean();
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

    private Duration third() {
        return mContext.service().settings().lease().dividedBy(RENEWALS_PER_LEASE);
    }

    void start() {
        scheduleRenewal();
        if (isEffectTooOld()) {
            int stage = mJob.stagesDone();
            finishWith(
                    new JobRunOutcome.EffectUnknown(
                            stage, "the claim of stage %d is too old".formatted(stage)));
            return;
        }
        mContext.service().blobs().read(mJob.input()).thenAccept(this::onInput);
    }

    // Claims are forgotten after their retention, so that an old effect could run again.
    private boolean isEffectTooOld() {
        long maxAge = mContext.service().settings().effectMaxAge().toMillis();
        long now = mContext.service().table().logMillis();
        return mJob.effect().filter(e -> now - e.timeMillis() >= maxAge).isPresent();
    }

    private void onInput(Optional<byte[]> input) {
        if (input.isEmpty()) {
            finishWith(new JobRunOutcome.Retry(third(), false, "the input cannot be read now"));
            return;
        }
        if (mIsOver.get()) {
            return;
        }
        begin(new JobAssignment(mJob, mFence, input.get()));
    }

    private void begin(JobAssignment work) {
        JobPipeline.Run run;
        try {
            run = mContext.pipeline().run(work, this);
        } catch (RuntimeException e) {
            finishWith(failedInPipeline(e));
            return;
        }
        mRun = Optional.of(run);
        run.outcome().exceptionally(this::failedInPipeline).thenAccept(this::finishWith);
        if (mIsOver.get()) {
            run.cancel();
        }
    }

    private JobRunOutcome failedInPipeline(Throwable error) {
        LOGGER.error("the run of job {} failed", id(), error);
        return new JobRunOutcome.Retry(third(), false, "fault in the entry that ran the job");
    }

    private void scheduleRenewal() {
        mContext.scheduler().schedule(third(), this::renew);
    }

    private void renew() {
        stopIfLeaseLost();
        if (mIsOver.get()) {
            return;
        }
        long startNanos = mContext.time().nanoTime();
        long leaseMillis = mContext.service().settings().lease().toMillis();
        JobRecord record = new JobRecord.LeaseRenewed(id(), mFence, leaseMillis);
        mContext.service()
                .write(record, NOTHING, third())
                .thenAccept(verdict -> onRenewed(startNanos, verdict));
    }

    private void onRenewed(long startNanos, Either<Refusal, JobApplyResult> verdict) {
        if (verdict.isRight() && !verdict.get().isApplied()) {
            stop("its lease was taken over or the job ended");
            return;
        }
        if (verdict.isRight()) {
            mLeaseEndNanos = startNanos + leaseNanos();
            scheduleRenewal();
        } else {
            mContext.scheduler().schedule(RETRY_DELAY, this::renew);
        }
    }

    /** Stops the run if its lease has run out or is another's. */
    void stopIfLeaseLost() {
        if (mContext.time().nanoTime() - mLeaseEndNanos >= 0) {
            stop("its lease ran out");
            return;
        }
        boolean isHeld =
                mContext.service().find(id()).filter(job -> job.isLeasedUnder(mFence)).isPresent();
        if (!isHeld) {
            stop("its lease was taken over or the job ended");
        }
    }

    /** Stops the run and gives its lease back. */
    void release() {
        mRun.ifPresent(JobPipeline.Run::cancel);
        finishWith(new JobRunOutcome.Retry(Duration.ZERO, false, "its entry stopped"));
    }

    private void stop(String reason) {
        if (mIsOver.compareAndSet(false, true)) {
            LOGGER.info("stopped the run of job {}: {}", id(), reason);
            mRun.ifPresent(JobPipeline.Run::cancel);
            mContext.onOver().accept(this);
        }
    }

    @Override
    public CompletableFuture<Boolean> effectStarting(int stage) {
        return record(new JobRecord.EffectStarted(id(), mFence, stage), NOTHING);
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
                                        : recordStage(stage, blob.get()));
    }

    private CompletableFuture<Boolean> recordStage(int stage, BlobStore.Prepared result) {
        JobRecord record = new JobRecord.StageDone(id(), mFence, stage, result.blob());
        return record(record, result.payload());
    }

    private CompletableFuture<Boolean> record(JobRecord record, byte[] payload) {
        if (mIsOver.get()) {
            return CompletableFuture.completedFuture(false);
        }
        return mContext.service()
                .write(record, payload, mContext.service().settings().appendTimeout())
                .thenApply(verdict -> verdict.isRight() && verdict.get().isApplied());
    }

    private void finishWith(JobRunOutcome end) {
        if (end instanceof JobRunOutcome.Completed completed) {
            keepResult(completed.result(), blob -> finished(completed.result(), false, "", blob));
        } else if (end instanceof JobRunOutcome.Failed failed) {
            keepResult(
                    failed.problem(),
                    blob -> finished(failed.problem(), true, failed.detail(), blob));
        } else if (end instanceof JobRunOutcome.EffectUnknown unknown) {
            JobRecord record = new JobRecord.Held(id(), mFence, unknown.stage(), unknown.detail());
            writeEnd(record, NOTHING);
        } else if (end instanceof JobRunOutcome.Retry later) {
            long delay = later.delay().toMillis();
            writeEnd(
                    new JobRecord.LeaseReleased(
                            id(), mFence, delay, later.effectNotRun(), later.detail()),
                    NOTHING);
        }
    }

    private JobRecord finished(JobResult result, boolean failed, String detail, Blob blob) {
        return new JobRecord.Finished(id(), mFence, result.status(), failed, detail, blob);
    }

    private void keepResult(JobResult result, Function<Blob, JobRecord> toRecord) {
        if (mIsOver.get()) {
            return;
        }
        mContext.service()
                .blobs()
                .prepare(id(), result.contentType(), result.body())
                .thenAccept(
                        blob -> {
                            if (blob.isRight()) {
                                writeEnd(toRecord.apply(blob.get().blob()), blob.get().payload());
                            } else {
                                again(() -> keepResult(result, toRecord));
                            }
                        });
    }

    // Tries until the end is recorded or the lease is lost.
    private void writeEnd(JobRecord record, byte[] payload) {
        if (mIsOver.get()) {
            return;
        }
        mContext.service()
                .write(record, payload, mContext.service().settings().appendTimeout())
                .thenAccept(
                        verdict -> {
                            if (verdict.isLeft()) {
                                again(() -> writeEnd(record, payload));
                            } else {
                                onEndRecorded();
                            }
                        });
    }

    private void again(Runnable task) {
        mContext.scheduler().schedule(RETRY_DELAY, task);
    }

    private void onEndRecorded() {
        JobStatus status =
                mContext.service().find(id()).map(Job::status).orElse(JobStatus.CANCELLED);
        LOGGER.info("run of job {} ended; the job is {}", id(), status);
        if (mIsOver.compareAndSet(false, true)) {
            mContext.onOver().accept(this);
        }
    }

    /**
     * What a run needs.
     *
     * @param service the job service
     * @param pipeline runs the stages
     * @param scheduler runs delayed tasks
     * @param time the clock
     * @param onOver is told when the run is over
     */
    record Context(
            JobService service,
            JobPipeline pipeline,
            Scheduler scheduler,
            TimeSource time,
            Consumer<JobRun> onOver) {}
}
