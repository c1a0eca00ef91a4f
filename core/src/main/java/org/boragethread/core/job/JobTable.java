package org.boragethread.core.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.boragethread.core.record.RecordCodec;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.job.JobId;
import org.boragethread.model.job.JobStatus;
import org.boragethread.model.team.TeamId;

/** The job state machine guarded by a lock, with an estimate of the log's clock. */
public final class JobTable {

    /** Encoding of job records. */
    public static final RecordCodec<JobRecord> CODEC = new RecordCodec<>(JobRecord.class);

    private final Object mLock = new Object();
    private final JobStateMachine mStateMachine;
    private final TimeSource mTime;
    private long mNewestReadNanos;

    /** Creates an empty table. */
    public JobTable(JobSettings settings, TimeSource time) {
        this(new JobStateMachine(settings), time);
    }

    JobTable(JobStateMachine stateMachine, TimeSource time) {
        mStateMachine = stateMachine;
        mTime = time;
    }

    /** Applies the next record of the job stream. */
    public JobApplyResult apply(long offset, long timeMillis, byte[] data) {
        Optional<JobRecord> record = CODEC.decode(data).map(RecordCodec.Decoded::header);
        synchronized (mLock) {
            mNewestReadNanos = mTime.nanoTime();
            if (record.isEmpty()) {
                mStateMachine.skip(offset, timeMillis);
                return JobApplyResult.ignored(Optional.empty());
            }
            return mStateMachine.apply(offset, timeMillis, record.get());
        }
    }

    /** Clears all state because older records of the stream can no longer be read. */
    public void restart(long firstOffset) {
        synchronized (mLock) {
            mStateMachine.restart(firstOffset);
        }
    }

    /** Returns the offset from which the stream must be read. */
    public long nextOffset() {
        synchronized (mLock) {
            return mStateMachine.nextOffset();
        }
    }

    /**
     * Estimates the log's clock, in milliseconds since the Unix epoch: the log time of the newest
     * record plus the time since it was read.
     */
    public long logMillis() {
        synchronized (mLock) {
            return mStateMachine
                    .logTimeMillis()
                    .map(now -> now + mTime.since(mNewestReadNanos).toMillis())
                    .orElseGet(mTime::millis);
        }
    }

    /** Returns how far the stream has been read. */
    public ReadPosition position() {
        synchronized (mLock) {
            return new ReadPosition(
                    mStateMachine.nextOffset() - 1, mStateMachine.logTimeMillis().orElse(0L));
        }
    }

    /** Returns a job, or empty if it is unknown. */
    public Optional<Job> find(JobId id) {
        synchronized (mLock) {
            return mStateMachine.find(id);
        }
    }

    /** Returns the jobs of a team, newest first. */
    public List<Job> list(TeamId team, int limit) {
        List<Job> found = new ArrayList<>();
        List<Job> jobs = all();
        for (int i = jobs.size() - 1; i >= 0 && found.size() < limit; i--) {
            if (jobs.get(i).spec().team().equals(team)) {
                found.add(jobs.get(i));
            }
        }
        return found;
    }

    /** Returns the jobs available for a lease at a log time, the earliest accepted first. */
    public List<Job> available(long millis) {
        synchronized (mLock) {
            return mStateMachine.available(millis);
        }
    }

    /** Returns the log time of a job's last submission or checkpoint. */
    public Optional<Long> checkpointedMillis(JobId id) {
        synchronized (mLock) {
            return mStateMachine.checkpointedMillis(id);
        }
    }

    private List<Job> all() {
        synchronized (mLock) {
            return mStateMachine.jobs();
        }
    }

    /** Returns unfinished jobs whose last submission or checkpoint precedes a log time. */
    public List<Job> checkpointedBefore(long millis, int limit) {
        synchronized (mLock) {
            return mStateMachine.checkpointedBefore(millis, limit);
        }
    }

    /** Returns the number of jobs that have not ended. */
    public int unfinished() {
        synchronized (mLock) {
            return mStateMachine.unfinished();
        }
    }

    /** Returns the number of jobs with a status. */
    public int count(JobStatus status) {
        synchronized (mLock) {
            return mStateMachine.count(status);
        }
    }

    /**
     * How far the stream has been read.
     *
     * @param offset offset of the newest record; -1 if none was read
     * @param timeMillis log time of that record
     */
    public record ReadPosition(long offset, long timeMillis) {}
}
