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
 * Repeats the state and the bytes of unfinished jobs in the log before their older records expire.
 * Each entry may do so; the first checkpoint that is still true counts.
 */
public final class JobCheckpointer {

    private static final Logger LOGGER = LogManager.getLogger(JobCheckpointer.class);
    private static final int MAX_AT_A_TIME = 4;
    private static final int MAX_CANDIDATES = 64;
    private static final int TICKS_PER_CHECKPOINT_AGE = 200;
    private static final byte[] NOTHING = new byte[0];

    private final JobService mService;
    private final Scheduler mScheduler;
    private final EntryRanking mRanking;
    private final Set<JobId> mWriting = ConcurrentHashMap.newKeySet();
    private volatile boolean mIsRunning;

    /**
     * Makes a checkpointer that does nothing yet.
     *
     * @param live entries that are believed to live; this one counts always
     */
    public JobCheckpointer(JobService service, Scheduler scheduler, Supplier<Set<EntryId>> live) {
        mService = Objects.requireNonNull(service, "service");
        mScheduler = Objects.requireNonNull(scheduler, "scheduler");
        mRanking = new EntryRanking(service.entry(), live);
    }

    /** Looks for old jobs from now on. Call it once. */
    public void start() {
        mIsRunning = true;
        mScheduler.schedule(interval(), this::tick);
    }

    /** Stops looking for old jobs. */
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
            repeatOldJobs();
        } finally {
            mScheduler.schedule(interval(), this::tick);
        }
    }

    private void repeatOldJobs() {
        long now = mService.table().logMillis();
        long age = mService.settings().checkpointAge().toMillis();
        for (Job job : mService.table().checkpointedBefore(now - age, MAX_CANDIDATES)) {
            if (!mIsRunning || mWriting.size() >= MAX_AT_A_TIME) {
                return;
            }
            if (isMyTurn(job, now - age) && mWriting.add(job.id())) {
                repeat(job.id()).whenComplete((isDone, error) -> onRepeated(job.id(), isDone));
            }
        }
    }

    // After a failure the next tick goes on, so that a log out of service is not pressed.
    private void onRepeated(JobId id, Boolean isDone) {
        mWriting.remove(id);
        if (Boolean.TRUE.equals(isDone)) {
            repeatOldJobs();
        }
    }

    private boolean isMyTurn(Job job, long before) {
        long headStart = mRanking.rank(job.id()) * interval().toMillis() * 2;
        return mService.table()
                .checkpointedMillis(job.id())
                .filter(anchored -> anchored < before - headStart)
                .isPresent();
    }

    /** Appends a job's bytes and then its state, if it has not changed meanwhile. */
    private CompletableFuture<Boolean> repeat(JobId id) {
        Optional<Job> known = mService.find(id).filter(job -> !job.status().isFinal());
        if (known.isEmpty()) {
            return CompletableFuture.completedFuture(false);
        }
        Job old = known.get();
        return copy(id, old.body())
                .thenCombine(copyCarry(id, old), (body, carry) -> renewed(old, body, carry))
                .thenCompose(state -> state.map(this::append).orElseGet(JobCheckpointer::no));
    }

    private CompletableFuture<Optional<Optional<Blob>>> copyCarry(JobId id, Job job) {
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

    private Optional<Checkpointed> renewed(
            Job old, Optional<Blob> body, Optional<Optional<Blob>> carry) {
        // The mark is read first: a record that comes between is then seen as a later change.
        JobTable.ReadPosition mark = mService.table().position();
        Optional<Job> now = mService.find(old.id());
        boolean hasSameBytes =
                now.filter(
                                j ->
                                        j.body().equals(old.body())
                                                && j.lastStageResult()
                                                        .equals(old.lastStageResult()))
                        .isPresent();
        if (body.isEmpty() || carry.isEmpty() || !hasSameBytes) {
            return Optional.empty();
        }
        Job state = new JobBuilder(now.get()).body(body.get()).lastStageResult(carry.get()).build();
        return Optional.of(new Checkpointed(state, mark));
    }

    private CompletableFuture<Boolean> append(Checkpointed checkpoint) {
        Job state = checkpoint.state();
        JobRecord record =
                new JobRecord.Checkpoint(
                        state.id(),
                        checkpoint.mark().offset(),
                        checkpoint.mark().timeMillis(),
                        state);
        return mService.write(record, NOTHING, mService.settings().appendTimeout())
                .thenApply(verdict -> verdict.isRight() && verdict.get().isApplied())
                .whenComplete((done, error) -> LOGGER.debug("job {}: {}", state.id(), done));
    }

    private static CompletableFuture<Boolean> no() {
        return CompletableFuture.completedFuture(false);
    }

    private record Checkpointed(Job state, JobTable.ReadPosition mark) {}
}
