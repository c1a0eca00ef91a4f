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
import org.boragethread.model.outcome.Ran;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.place.EntryId;
import org.boragethread.model.team.TeamId;

/**
 * Accepts jobs and tells how they stand. Safe for use by several threads; completes futures without
 * holding locks.
 */
public final class JobService implements RecordStateMachine {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final int MAX_UNSAVED = 10_000;

    private final EntryId mEntry;
    private final JobSettings mSettings;
    private final JobTable mTable;
    private final ConfirmedWriter<JobApplyResult> mConfirmed;
    private final RetryingWriter mPersistent;
    private final BlobStore mBlobs;
    private final TimeSource mTime;
    private final Supplier<String> mIds;

    private JobService(Builder builder) {
        mEntry = Objects.requireNonNull(builder.mEntry, "entry");
        mSettings = Objects.requireNonNull(builder.mSettings, "settings");
        Objects.requireNonNull(builder.mScheduler, "scheduler");
        mTime = Objects.requireNonNull(builder.mTime, "time");
        mTable = builder.mTable == null ? new JobTable(mSettings, builder.mTime) : builder.mTable;
        mConfirmed = new ConfirmedWriter<>(builder.mSink, builder.mScheduler, builder.mIds);
        mPersistent =
                new RetryingWriter(builder.mSink, builder.mScheduler, MAX_UNSAVED, builder.mIds);
        mIds = builder.mIds;
        mBlobs =
                new BlobStore(
                        builder.mSink, builder.mSource, builder.mIds, mSettings.appendTimeout());
    }

    /** Starts a service without collaborators; all of them must be set. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Submits a job.
     *
     * @param remaining longest wait for the job to be kept
     * @return the job once it is kept, or the one that was submitted before with the same key; a
     *     refusal of an unconfirmed submission says that it may be kept all the same
     */
    public CompletableFuture<Either<Refusal, Job>> submit(
            JobSubmission submission, Duration remaining) {
        if (mTable.unfinished() >= mSettings.maxUnfinished()) {
            return refused(RefusalReason.QUEUE_FULL, "as many unfinished jobs as there may be");
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
                .thenCompose(verdict -> confirm(verdict, deadlineNanos))
                .thenApply(
                        verdict ->
                                verdict.isLeft()
                                        ? Either.left(maybeKept(verdict.getLeft(), id))
                                        : toJob(verdict.get()));
    }

    private CompletableFuture<Either<Refusal, JobApplyResult>> confirm(
            Either<Refusal, JobApplyResult> verdict, long deadlineNanos) {
        Optional<Job> submitted =
                verdict.toJavaOptional()
                        .filter(v -> v.kind() != JobApplyResult.Kind.KEY_REUSED)
                        .flatMap(JobApplyResult::job)
                        .filter(job -> job.status() == JobStatus.SUBMITTED);
        if (submitted.isEmpty()) {
            return CompletableFuture.completedFuture(verdict);
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

    private static Refusal maybeKept(Refusal refusal, JobId id) {
        String detail = "job %s may have been kept: ".formatted(id) + refusal.detail();
        return new Refusal(refusal.reason(), Ran.UNKNOWN, detail, refusal.retryAfter());
    }

    private static Either<Refusal, Job> toJob(JobApplyResult verdict) {
        if (verdict.kind() != JobApplyResult.Kind.KEY_REUSED && verdict.job().isPresent()) {
            return Either.right(verdict.job().get());
        }
        if (verdict.kind() == JobApplyResult.Kind.KEY_REUSED) {
            String detail = "the key's first job has another body";
            return Either.left(Refusal.notRun(RefusalReason.KEY_REUSED, detail));
        }
        String detail = "the submission reached the log too late, or this entry has just started";
        return Either.left(Refusal.notRun(RefusalReason.LOG_UNAVAILABLE, detail, RETRY_AFTER));
    }

    /** Returns a job's state, or empty if it is not known or ended long ago. */
    public Optional<Job> find(JobId id) {
        return mTable.find(id);
    }

    /** Returns jobs of a team, the newest first. */
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
                Ran.YES,
                "job %s ended, but its result cannot be read now".formatted(id),
                Optional.of(RETRY_AFTER));
    }

    /**
     * Cancels an unfinished job.
     *
     * @return the cancelled job, or the job as it is if it had ended before
     */
    public CompletableFuture<Either<Refusal, Job>> cancel(JobId id, Duration remaining) {
        return change(id, new JobRecord.Cancelled(id), remaining);
    }

    /**
     * Settles a held job as an operator decided.
     *
     * @return the settled job, or the job as it is if it was not held any more
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
                        verdict ->
                                verdict.mapLeft(refusal -> maybeChanged(refusal, id))
                                        .flatMap(v -> jobOf(id, v)));
    }

    // The record of a failed append may be read later and take effect then.
    private static Refusal maybeChanged(Refusal refusal, JobId id) {
        String detail = "the change of job %s may take effect: ".formatted(id) + refusal.detail();
        return new Refusal(refusal.reason(), Ran.UNKNOWN, detail, refusal.retryAfter());
    }

    private static Either<Refusal, Job> jobOf(JobId id, JobApplyResult verdict) {
        return verdict.job()
                .map(Either::<Refusal, Job>right)
                .orElseGet(
                        () ->
                                Either.left(
                                        Refusal.notRun(
                                                RefusalReason.NOT_FOUND,
                                                "job %s is not known".formatted(id))));
    }

    private static <T> CompletableFuture<Either<Refusal, T>> refused(
            RefusalReason reason, String detail) {
        return CompletableFuture.completedFuture(
                Either.left(Refusal.notRun(reason, detail, RETRY_AFTER)));
    }

    @Override
    public void apply(long offset, long timeMillis, String recordId, byte[] data) {
        JobApplyResult verdict = mTable.apply(offset, timeMillis, data);
        ConfirmedWriter.Owner owner = mConfirmed.applied(recordId, verdict);
        if (owner != ConfirmedWriter.Owner.WAITING && verdict.isApplied()) {
            verdict.job().ifPresent(job -> returnIfTakenUnawaited(job, offset));
        }
    }

    // A taking record of this entry was read after the runner had stopped to wait for it.
    private void returnIfTakenUnawaited(Job job, long offset) {
        boolean isMine =
                job.lease()
                        .filter(l -> l.fence() == offset && l.holder().equals(mEntry))
                        .isPresent();
        if (isMine) {
            JobRecord record =
                    new JobRecord.LeaseReleased(job.id(), offset, 0, false, "taken too late");
            mPersistent.write(JobSettings.STREAM, JobTable.CODEC.encode(record));
        }
    }

    @Override
    public void restart(long firstOffset) {
        mTable.restart(firstOffset);
    }

    /** Returns the job ledger. */
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
        return mConfirmed.write(JobSettings.STREAM, data, limit);
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

        /** Sets this run of this entry. */
        public Builder entry(EntryId entry) {
            mEntry = entry;
            return this;
        }

        /** Sets the settings. */
        public Builder settings(JobSettings settings) {
            mSettings = settings;
            return this;
        }

        /** Sets where records go. */
        public Builder sink(RecordSink sink) {
            mSink = sink;
            return this;
        }

        /** Sets where bodies and results are read. */
        public Builder source(RecordSource source) {
            mSource = source;
            return this;
        }

        /** Sets what runs delayed tasks. */
        public Builder scheduler(Scheduler scheduler) {
            mScheduler = scheduler;
            return this;
        }

        /** Sets the clock. */
        public Builder time(TimeSource time) {
            mTime = time;
            return this;
        }

        /** Sets the source of identifiers of records and jobs; they must be unique for ever. */
        public Builder recordIds(Supplier<String> ids) {
            mIds = ids;
            return this;
        }

        Builder table(JobTable table) {
            mTable = table;
            return this;
        }

        /** Returns the service. */
        public JobService build() {
            return new JobService(this);
        }
    }
}
