package org.boragethread.core.job;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.core.time.Scheduler;
import org.boragethread.model.job.JobId;
import org.boragethread.model.place.EntryId;

/**
 * Writes the state and the blobs of unfinished jobs to the log again before their older records
 * expire. Every entry may do so; the first checkpoint that is not outdated takes effect.
 */
public final class JobCheckpointer {

    private static final Logger LOGGER = LogManager.getLogger(JobCheckpointer.class);
    private static final int MAX_CONCURRENT = 4;
    private static final int MAX_CANDIDATES = 64;
    private static final int TICKS_PER_CHECKPOINT_AGE = 200;
    private static final byte[] EMPTY = new byte[0];

    private final JobService mService;
    private final Scheduler mScheduler;
    private final EntryRanking mRanking;
    private final Set<JobId> mWriting = ConcurrentHashMap.newKeySet();
    private volatile boolean mIsRunning;

    /**
     * Creates a checkpointer that is not started.
     *
     * @param live entries that are believed to be live; this entry is always included
     */
    public JobCheckpointer(JobService service, Scheduler scheduler, Supplier<Set<EntryId>> live) {
        mService = Objects.requireNonNull(service, "service");
        mScheduler = Objects.requireNonNull(scheduler, "scheduler");
        mRanking = new EntryRanking(service.entry(), live);
    }

    /** Starts writing checkpoints. Must be called only once. */
    public void start() {
        mIsRunning = true;
        mScheduler.schedule(interval(), this::tick);
    }

    /** Stops writing checkpoints. */
    public void stop() {
        mIsRunning = false;
    }

    private Duration interval() {
        return mService.settings().checkpointAge().dividedBy(TICKS_PER_CHECKPOINT_AGE);
    }

    private void tick() {
        if (!mIsRunning) {
            return;
        }
        try {
            checkpointOldJobs();
        } finally {
            mScheduler.schedule(interval(), this::tick);
        }
    }

    private void checkpointOldJobs() {
        long now = mService.table().logMillis();
        long age = mService.settings().checkpointAge().toMillis();
        for (Job job : mService.table().checkpointedBefore(now - age, MAX_CANDIDATES)) {
            if (!mIsRunning || mWriting.size() >= MAX_CONCURRENT) {
                return;
            }
            if (isMyTurn(job, now - age) && mWriting.add(job.id())) {
                attemptCheckpoint(job.id());
            }
        }
    }

    private void attemptCheckpoint(JobId id) {
        try {
            checkpoint(id).whenComplete((isWritten, error) -> onCheckpointed(id, isWritten, error));
        } catch (RuntimeException | Error e) {
            onCheckpointed(id, false, e);
        }
    }

    // A failure is retried only at the next tick, so as not to overload an unavailable log.
    private void onCheckpointed(JobId id, Boolean isWritten, Throwable error) {
        mWriting.remove(id);
        if (error != null) {
            LOGGER.error("failed to write a checkpoint of job {}", id, error);
        }
        if (Boolean.TRUE.equals(isWritten)) {
            checkpointOldJobs();
        }
    }

    private boolean isMyTurn(Job job, long before) {
        long rankDelay = mRanking.rank(job.id()) * interval().toMillis() * 2;
        return mService.table()
                .checkpointedMillis(job.id())
                .filter(anchored -> anchored < before - rankDelay)
                .isPresent();
    }

    /** Appends copies of a job's blobs, and then its state unless its blobs have changed. */
    private CompletableFuture<Boolean> checkpoint(JobId id) {
        Optional<Job> known = mService.find(id).filter(job -> !job.status().isFinal());
        if (known.isEmpty()) {
            return CompletableFuture.completedFuture(false);
        }
        Job old = known.get();
        return copy(id, old.body())
                .thenCombine(
                        copyLastStageResult(id, old),
                        (body, lastStageResult) -> withCopiedBlobs(old, body, lastStageResult))
                .thenCompose(
                        state -> state.map(this::append).orElseGet(JobCheckpointer::notWritten));
    }

    private CompletableFuture<Optional<Optional<Blob>>> copyLastStageResult(JobId id, Job job) {
        if (job.lastStageResult().isEmpty()) {
            return CompletableFuture.completedFuture(Optional.of(Optional.empty()));
        }
        return copy(id, job.lastStageResult().get()).thenApply(blob -> blob.map(Optional::of));
    }

    private CompletableFuture<Optional<Blob>> copy(JobId id, Blob blob) {
        return mService.blobs()
                .read(blob)
                .thenCompose(
                        bytes ->
                                bytes.isEmpty()
                                        ? CompletableFuture.completedFuture(Optional.empty())
                                        : mService.blobs()
                                                .appendParts(id, blob.contentType(), bytes.get())
                                                .thenApply(copy -> copy.toJavaOptional()));
    }

    private Optional<PendingCheckpoint> withCopiedBlobs(
            Job old, Optional<Blob> body, Optional<Optional<Blob>> lastStageResult) {
        // The position is read first, so that a record applied between the two reads invalidates
        // the checkpoint.
        JobTable.ReadPosition position = mService.table().position();
        Optional<Job> now = mService.find(old.id());
        boolean hasSameBlobs =
                now.filter(
                                j ->
                                        j.body().equals(old.body())
                                                && j.lastStageResult()
                                                        .equals(old.lastStageResult()))
                        .isPresent();
        if (body.isEmpty() || lastStageResult.isEmpty() || !hasSameBlobs) {
            return Optional.empty();
        }
        Job state =
                new JobBuilder(now.get())
                        .body(body.get())
                        .lastStageResult(lastStageResult.get())
                        .build();
        return Optional.of(new PendingCheckpoint(state, position));
    }

    private CompletableFuture<Boolean> append(PendingCheckpoint checkpoint) {
        Job state = checkpoint.state();
        JobRecord record =
                new JobRecord.Checkpoint(
                        state.id(),
                        checkpoint.position().offset(),
                        checkpoint.position().timeMillis(),
                        state);
        return mService.write(record, EMPTY, mService.settings().appendTimeout())
                .thenApply(result -> result.isRight() && result.get().isApplied())
                .whenComplete(
                        (written, error) ->
                                LOGGER.debug(
                                        "checkpoint of job {} written: {}", state.id(), written));
    }

    private static CompletableFuture<Boolean> notWritten() {
        return CompletableFuture.completedFuture(false);
    }

    private record PendingCheckpoint(Job state, JobTable.ReadPosition position) {}
}
