package org.boragethread.core.job;

import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.job.JobId;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.place.EntryId;

/**
 * Acquires leases of available jobs and runs the jobs. An entry that ranks lower for a job waits
 * longer before it tries to acquire it, so that jobs spread over the entries. Thread-safe.
 */
public final class JobRunner {

    private static final Logger LOGGER = LogManager.getLogger(JobRunner.class);
    private static final byte[] EMPTY = new byte[0];

    private final JobService mService;
    private final JobPipeline mPipeline;
    private final Scheduler mScheduler;
    private final TimeSource mTime;
    private final EntryRanking mRanking;
    private final Map<JobId, JobRun> mRuns = new ConcurrentHashMap<>();
    private final Set<JobId> mAcquiring = ConcurrentHashMap.newKeySet();
    private volatile boolean mIsRunning;

    /**
     * Creates a runner that is not started.
     *
     * @param live entries that are believed to be live; this entry is always included
     */
    public JobRunner(
            JobService service,
            JobPipeline pipeline,
            Scheduler scheduler,
            TimeSource time,
            Supplier<Set<EntryId>> live) {
        mService = Objects.requireNonNull(service, "service");
        mPipeline = Objects.requireNonNull(pipeline, "pipeline");
        mScheduler = Objects.requireNonNull(scheduler, "scheduler");
        mTime = Objects.requireNonNull(time, "time");
        mRanking = new EntryRanking(service.entry(), live);
    }

    /**
     * Starts acquiring jobs. Must be called only once, after the job stream was read to its end.
     */
    public void start() {
        mIsRunning = true;
        mScheduler.schedule(mService.settings().tick(), this::tick);
    }

    /** Stops acquiring jobs; running jobs continue. */
    public void stop() {
        mIsRunning = false;
    }

    /**
     * Stops acquiring jobs, stops the running ones and releases their leases, so that other entries
     * can continue them at once. Before the process exits, wait with a timeout until {@link
     * #running} is 0.
     */
    public void releaseAll() {
        stop();
        for (JobRun run : mRuns.values()) {
            run.release();
        }
    }

    /** Returns the number of jobs running on this entry. */
    public int running() {
        return mRuns.size();
    }

    private void tick() {
        if (!mIsRunning) {
            return;
        }
        try {
            stopLostRuns();
            acquireAvailableJobs();
        } finally {
            mScheduler.schedule(mService.settings().tick(), this::tick);
        }
    }

    private void stopLostRuns() {
        for (JobRun run : mRuns.values()) {
            run.stopIfLeaseLost();
        }
    }

    private void acquireAvailableJobs() {
        long now = mService.table().logMillis();
        for (Job job : mService.table().available(now)) {
            if (mRuns.size() + mAcquiring.size() >= mService.settings().maxRunning()) {
                return;
            }
            if (isMyTurn(job, now) && !mRuns.containsKey(job.id()) && mAcquiring.add(job.id())) {
                attemptToAcquire(job);
            }
        }
    }

    private boolean isMyTurn(Job job, long now) {
        long rankDelay = mRanking.rank(job.id()) * mService.settings().spread().toMillis();
        return now >= job.availableFromMillis() + rankDelay;
    }

    private void attemptToAcquire(Job job) {
        try {
            acquire(job);
        } catch (RuntimeException | Error e) {
            onAcquisitionFailed(job.id(), e);
        }
    }

    private void onAcquisitionFailed(JobId id, Throwable error) {
        LOGGER.error("failed to acquire job {}", id, error);
        mAcquiring.remove(id);
    }

    private void acquire(Job job) {
        long startNanos = mTime.nanoTime();
        long leaseMillis = mService.settings().lease().toMillis();
        JobRecord record = new JobRecord.LeaseAcquired(job.id(), mService.entry(), leaseMillis);
        mService.write(record, EMPTY, mService.settings().appendTimeout())
                .thenAccept(result -> onAcquired(job.id(), startNanos, result))
                .exceptionally(
                        error -> {
                            onAcquisitionFailed(job.id(), error);
                            return null;
                        });
    }

    private void onAcquired(JobId id, long startNanos, Either<Refusal, JobApplyResult> result) {
        mAcquiring.remove(id);
        if (result.isLeft() || !result.get().isApplied()) {
            return;
        }
        Job job = result.get().job().orElseThrow();
        LOGGER.info("acquired lease of job {} at stage {}", id, job.stagesDone());
        JobRun run = new JobRun(context(), job, startNanos);
        mRuns.put(id, run);
        run.start();
    }

    private JobRun.Context context() {
        return new JobRun.Context(mService, mPipeline, mScheduler, mTime, this::onRunEnded);
    }

    private void onRunEnded(JobRun run) {
        mRuns.remove(run.id(), run);
    }

    /** Returns the identifiers of the jobs running on this entry. */
    public Set<JobId> runningJobs() {
        return new HashSet<>(mRuns.keySet());
    }
}
