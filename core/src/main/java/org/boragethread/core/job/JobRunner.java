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
 * Takes free jobs and runs them under leases. An entry that comes later in a job's order of entries
 * waits longer, so that jobs spread over the entries. Safe for use by several threads.
 */
public final class JobRunner {

    private static final Logger LOGGER = LogManager.getLogger(JobRunner.class);
    private static final byte[] NOTHING = new byte[0];

    private final JobService mService;
    private final JobPipeline mPipeline;
    private final Scheduler mScheduler;
    private final TimeSource mTime;
    private final EntryRanking mRanking;
    private final Map<JobId, JobRun> mRuns = new ConcurrentHashMap<>();
    private final Set<JobId> mTaking = ConcurrentHashMap.newKeySet();
    private volatile boolean mIsTaking;

    /**
     * Makes a runner that does nothing yet.
     *
     * @param live entries that are believed to live; this one counts always
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

    /** Takes jobs from now on. Call it once, when the job stream has been read to its end. */
    public void start() {
        mIsTaking = true;
        mScheduler.schedule(mService.settings().tick(), this::tick);
    }

    /** Takes no more jobs; running ones go on. */
    public void stop() {
        mIsTaking = false;
    }

    /**
     * Takes no more jobs, stops the running ones and gives them back, so that other entries go on
     * with them at once. For the end of a process; wait until {@link #running} is 0, with a bound.
     */
    public void releaseAll() {
        stop();
        for (JobRun run : mRuns.values()) {
            run.release();
        }
    }

    /** Returns the number of jobs that this entry runs. */
    public int running() {
        return mRuns.size();
    }

    private void tick() {
        if (!mIsTaking) {
            return;
        }
        try {
            stopLostRuns();
            takeFreeJobs();
        } finally {
            mScheduler.schedule(mService.settings().tick(), this::tick);
        }
    }

    private void stopLostRuns() {
        for (JobRun run : mRuns.values()) {
            run.stopIfLeaseLost();
        }
    }

    private void takeFreeJobs() {
        long now = mService.table().logMillis();
        for (Job job : mService.table().available(now)) {
            if (mRuns.size() + mTaking.size() >= mService.settings().maxRunning()) {
                return;
            }
            if (isMyTurn(job, now) && !mRuns.containsKey(job.id()) && mTaking.add(job.id())) {
                take(job);
            }
        }
    }

    private boolean isMyTurn(Job job, long now) {
        long headStart = mRanking.rank(job.id()) * mService.settings().spread().toMillis();
        return now >= job.availableFromMillis() + headStart;
    }

    private void take(Job job) {
        long startNanos = mTime.nanoTime();
        long leaseMillis = mService.settings().lease().toMillis();
        JobRecord record = new JobRecord.LeaseAcquired(job.id(), mService.entry(), leaseMillis);
        mService.write(record, NOTHING, mService.settings().appendTimeout())
                .thenAccept(verdict -> onTaken(job.id(), startNanos, verdict));
    }

    private void onTaken(JobId id, long startNanos, Either<Refusal, JobApplyResult> verdict) {
        mTaking.remove(id);
        if (verdict.isLeft() || !verdict.get().isApplied()) {
            return;
        }
        Job job = verdict.get().job().orElseThrow();
        LOGGER.info("took job {} at stage {}", id, job.stagesDone());
        JobRun run = new JobRun(context(), job, startNanos);
        mRuns.put(id, run);
        run.start();
    }

    private JobRun.Context context() {
        return new JobRun.Context(mService, mPipeline, mScheduler, mTime, this::forget);
    }

    private void forget(JobRun run) {
        mRuns.remove(run.id(), run);
    }

    /** Returns the jobs that this entry runs. */
    public Set<JobId> runningJobs() {
        return new HashSet<>(mRuns.keySet());
    }
}
