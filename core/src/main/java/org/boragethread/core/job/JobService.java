package org.boragethread.core.job;

import com.dynatrace.hash4j.hashing.Hashing;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.boragethread.core.claim.KeyHash;
import org.boragethread.core.record.ConfirmedWriter;
import org.boragethread.core.record.RecordSink;
import org.boragethread.core.record.RecordSource;
import org.boragethread.core.record.RecordStateMachine;
import org.boragethread.core.record.RetryingWriter;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.job.JobDecision;
import org.boragethread.model.job.JobId;
import org.boragethread.model.job.JobResult;
import org.boragethread.model.job.JobStatus;
import org.boragethread.model.outcome.ExecutionStatus;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.place.EntryId;
import org.boragethread.model.team.TeamId;

/**
 * Accepts, cancels and settles jobs, and returns their states and results. Thread-safe; completes
 * futures without holding locks.
 */
public final class JobService implements RecordStateMachine {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final int MAX_UNWRITTEN_RECORDS = 10_000;

    private final EntryId mEntry;
    private final JobSettings mSettings;
    private final JobTable mTable;
    private final ConfirmedWriter<JobApplyResult> mConfirmedWriter;
    private final RetryingWriter mRetryingWriter;
    private final BlobStore mBlobs;
    private final TimeSource mTime;
    private final Supplier<String> mIds;

    private JobService(Builder builder) {
        mEntry = Objects.requireNonNull(builder.mEntry, "entry");
        mSettings = Objects.requireNonNull(builder.mSettings, "settings");
        Objects.requireNonNull(builder.mScheduler, "scheduler");
        mTime = Objects.requireNonNull(builder.mTime, "time");
        mTable = builder.mTable == null ? new JobTable(mSettings, builder.mTime) : builder.mTable;
        mConfirmedWriter = new ConfirmedWriter<>(builder.mSink, builder.mScheduler, builder.mIds);
        mRetryingWriter =
                new RetryingWriter(
                        builder.mSink, builder.mScheduler, MAX_UNWRITTEN_RECORDS, builder.mIds);
        mIds = builder.mIds;
        mBlobs =
                new BlobStore(
                        builder.mSink, builder.mSource, builder.mIds, mSettings.appendTimeout());
    }

    /** Returns a builder; all collaborators without a default must be set. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Submits a job.
     *
     * @param remaining maximum time to wait until the job is in the log
     * @return the job once it is in the log, or the job that was submitted earlier with the same
     *     key; if the outcome is unknown, the refusal says that the job may have been accepted
     */
    public CompletableFuture<Either<Refusal, Job>> submit(
            JobSubmission submission, Duration remaining) {
        if (mTable.unfinished() >= mSettings.maxUnfinished()) {
            return refused(
                    RefusalReason.QUEUE_FULL, "the maximum number of unfinished jobs is reached");
        }
        JobId id = new JobId(mIds.get());
        return mBlobs.prepare(id, submission.contentType(), submission.body())
                .thenCompose(
                        body ->
                                body.isLeft()
                                        ? CompletableFuture.completedFuture(
                                                Either.left(body.getLeft()))
                                        : accept(id, submission, body.get(), remaining));
    }

    private CompletableFuture<Either<Refusal, Job>> accept(
            JobId id, JobSubmission submission, BlobStore.Prepared body, Duration remaining) {
        JobRecord.Submitted record =
                new JobRecord.Submitted(id, specOf(submission), body.blob(), mTable.logMillis());
        long deadlineNanos = mTime.nanoTime() + remaining.toNanos();
        return write(record, body.payload(), remaining)
                .thenCompose(result -> confirm(result, deadlineNanos))
                .thenApply(
                        result ->
                                result.isLeft()
                                        ? Either.left(mayBeAccepted(result.getLeft(), id))
                                        : toJob(result.get()));
    }

    private CompletableFuture<Either<Refusal, JobApplyResult>> confirm(
            Either<Refusal, JobApplyResult> result, long deadlineNanos) {
        Optional<Job> submitted =
                result.toJavaOptional()
                        .filter(v -> v.kind() != JobApplyResult.Kind.KEY_REUSED)
                        .flatMap(JobApplyResult::job)
                        .filter(job -> job.status() == JobStatus.SUBMITTED);
        if (submitted.isEmpty()) {
            return CompletableFuture.completedFuture(result);
        }
        JobRecord record = new JobRecord.Confirmed(submitted.get().id());
        return write(record, new byte[0], Duration.ofNanos(deadlineNanos - mTime.nanoTime()));
    }

    private static JobSpec specOf(JobSubmission submission) {
        byte[] name = submission.pipeline().value().getBytes(StandardCharsets.UTF_8);
        long bodyHash =
                Hashing.komihash5_0()
                        .hashStream()
                        .putByteArray(name)
                        .putByteArray(submission.body())
                        .getAsLong();
        return new JobSpec(
                submission.team(),
                submission.pipeline(),
                submission.request(),
                submission.key().map(key -> KeyHash.of(submission.team(), key)),
                bodyHash);
    }

    private static Refusal mayBeAccepted(Refusal refusal, JobId id) {
        String detail = "job %s may have been accepted: ".formatted(id) + refusal.detail();
        return new Refusal(refusal.reason(), ExecutionStatus.UNKNOWN, detail, refusal.retryAfter());
    }

    private static Either<Refusal, Job> toJob(JobApplyResult result) {
        if (result.kind() != JobApplyResult.Kind.KEY_REUSED && result.job().isPresent()) {
            return Either.right(result.job().get());
        }
        if (result.kind() == JobApplyResult.Kind.KEY_REUSED) {
            String detail = "the idempotency key was used before with another body";
            return Either.left(Refusal.notRun(RefusalReason.KEY_REUSED, detail));
        }
        String detail = "the submission reached the log too late, or this entry is still starting";
        return Either.left(Refusal.notRun(RefusalReason.LOG_UNAVAILABLE, detail, RETRY_AFTER));
    }

    /** Returns a job's state, or empty if it is unknown or its retention has expired. */
    public Optional<Job> find(JobId id) {
        return mTable.find(id);
    }

    /** Returns the jobs of a team, newest first. */
    public List<Job> list(TeamId team, int limit) {
        return mTable.list(team, limit);
    }

    /** Reads the result of a finished or failed job. */
    public CompletableFuture<Either<Refusal, JobResult>> result(JobId id) {
        Optional<Job> job = mTable.find(id);
        if (job.isEmpty() || job.get().result().isEmpty()) {
            return refused(RefusalReason.NOT_FOUND, "job %s has no result".formatted(id));
        }
        Blob blob = job.get().result().get();
        int status = job.get().resultStatus();
        return mBlobs.read(blob)
                .thenApply(
                        bytes ->
                                bytes.map(b -> new JobResult(status, blob.contentType(), b))
                                        .map(Either::<Refusal, JobResult>right)
                                        .orElseGet(() -> Either.left(unreadable(id))));
    }

    private static Refusal unreadable(JobId id) {
        return new Refusal(
                RefusalReason.LOG_UNAVAILABLE,
                ExecutionStatus.YES,
                "job %s ended, but its result is not readable at present".formatted(id),
                Optional.of(RETRY_AFTER));
    }

    /**
     * Cancels an unfinished job.
     *
     * @return the cancelled job, or the unchanged job if it had already ended
     */
    public CompletableFuture<Either<Refusal, Job>> cancel(JobId id, Duration remaining) {
        return change(id, new JobRecord.Cancelled(id), remaining);
    }

    /**
     * Settles a held job by an operator's decision.
     *
     * @return the settled job, or the unchanged job if it was no longer held
     */
    public CompletableFuture<Either<Refusal, Job>> settle(
            JobId id, JobDecision decision, Duration remaining) {
        Optional<Job> job = mTable.find(id).filter(j -> j.status() == JobStatus.HELD);
        if (job.isEmpty()) {
            return refused(RefusalReason.NOT_FOUND, "job %s is not held".formatted(id));
        }
        JobRecord.Settled record = new JobRecord.Settled(id, job.get().round(), decision);
        return change(id, record, remaining);
    }

    private CompletableFuture<Either<Refusal, Job>> change(
            JobId id, JobRecord record, Duration remaining) {
        return write(record, new byte[0], remaining)
                .thenApply(
                        result ->
                                result.mapLeft(refusal -> mayTakeEffect(refusal, id))
                                        .flatMap(v -> jobOf(id, v)));
    }

    // A record whose append seemed to fail may still appear in the log and take effect.
    private static Refusal mayTakeEffect(Refusal refusal, JobId id) {
        String detail =
                "the change of job %s may still take effect: ".formatted(id) + refusal.detail();
        return new Refusal(refusal.reason(), ExecutionStatus.UNKNOWN, detail, refusal.retryAfter());
    }

    private static Either<Refusal, Job> jobOf(JobId id, JobApplyResult result) {
        return result.job()
                .map(Either::<Refusal, Job>right)
                .orElseGet(
                        () ->
                                Either.left(
                                        Refusal.notRun(
                                                RefusalReason.NOT_FOUND,
                                                "job %s is unknown".formatted(id))));
    }

    private static <T> CompletableFuture<Either<Refusal, T>> refused(
            RefusalReason reason, String detail) {
        return CompletableFuture.completedFuture(
                Either.left(Refusal.notRun(reason, detail, RETRY_AFTER)));
    }

    @Override
    public void apply(long offset, long timeMillis, String recordId, byte[] data) {
        JobApplyResult result = mTable.apply(offset, timeMillis, data);
        ConfirmedWriter.Owner owner = mConfirmedWriter.applied(recordId, result);
        if (owner != ConfirmedWriter.Owner.WAITING && result.isApplied()) {
            result.job().ifPresent(job -> releaseUnawaitedLease(job, offset));
        }
    }

    // Releases a lease that this entry acquired after the runner had stopped waiting for it.
    private void releaseUnawaitedLease(Job job, long offset) {
        boolean isOwnLease =
                job.lease()
                        .filter(l -> l.fence() == offset && l.holder().equals(mEntry))
                        .isPresent();
        if (isOwnLease) {
            JobRecord record =
                    new JobRecord.LeaseReleased(job.id(), offset, 0, false, "taken too late");
            mRetryingWriter.write(JobSettings.STREAM, JobTable.CODEC.encode(record));
        }
    }

    @Override
    public void restart(long firstOffset) {
        mTable.restart(firstOffset);
    }

    /** Returns the states of all jobs. */
    public JobTable table() {
        return mTable;
    }

    EntryId entry() {
        return mEntry;
    }

    JobSettings settings() {
        return mSettings;
    }

    BlobStore blobs() {
        return mBlobs;
    }

    CompletableFuture<Either<Refusal, JobApplyResult>> write(
            JobRecord record, byte[] payload, Duration limit) {
        byte[] data = JobTable.CODEC.encode(record, payload);
        return mConfirmedWriter.write(JobSettings.STREAM, data, limit);
    }

    /** Builds a service. */
    public static final class Builder {

        private EntryId mEntry;
        private JobSettings mSettings = JobSettings.builder().build();
        private JobTable mTable;
        private RecordSink mSink;
        private RecordSource mSource;
        private Scheduler mScheduler;
        private TimeSource mTime;
        private Supplier<String> mIds = () -> UUID.randomUUID().toString();

        private Builder() {}

        /** Sets the identifier of this entry, unique to this process. */
        public Builder entry(EntryId entry) {
            mEntry = entry;
            return this;
        }

        /** Sets the settings. */
        public Builder settings(JobSettings settings) {
            mSettings = settings;
            return this;
        }

        /** Sets the destination of records. */
        public Builder sink(RecordSink sink) {
            mSink = sink;
            return this;
        }

        /** Sets the source from which bodies and results are read. */
        public Builder source(RecordSource source) {
            mSource = source;
            return this;
        }

        /** Sets the scheduler of delayed tasks. */
        public Builder scheduler(Scheduler scheduler) {
            mScheduler = scheduler;
            return this;
        }

        /** Sets the clock. */
        public Builder time(TimeSource time) {
            mTime = time;
            return this;
        }

        /** Sets the generator of record and job identifiers, which must be globally unique. */
        public Builder recordIds(Supplier<String> ids) {
            mIds = ids;
            return this;
        }

        Builder table(JobTable table) {
            mTable = table;
            return this;
        }

        /** Builds the service. */
        public JobService build() {
            return new JobService(this);
        }
    }
}
