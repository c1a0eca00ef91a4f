package org.boragethread.core.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.boragethread.core.record.RecordCodec;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.job.JobId;
import org.boragethread.model.job.JobStatus;
import org.boragethread.model.team.TeamId;

/** The job ledger under a lock, with an estimate of the log's clock. */
public final class JobTable {

    /** Encoding of job records. */
    public static final RecordCodec<JobRecord> CODEC = new RecordCodec<>(JobRecord.class);

    private final Object mLock = new Object();
    private final JobStateMachine mLedger;
    private final TimeSource mTime;
    private long mNewestReadNanos;

    /** Makes an empty table. */
    public JobTable(JobSettings settings, TimeSource time) {
        this(new JobStateMachine(settings), time);
    }

    JobTable(JobStateMachine ledger, TimeSource time) {
        mLedger = ledger;
        mTime = time;
    }

    /** Applies the next record of the job stream. */
    public JobApplyResult apply(long offset, long timeMillis, byte[] data) {
        Optional<JobRecord> record = CODEC.decode(data).map(RecordCodec.Decoded::header);
        synchronized (mLock) {
            mNewestReadNanos = mTime.nanoTime();
            if (record.isEmpty()) {
                mLedger.skip(offset, timeMillis);
                return JobApplyResult.ignored(Optional.empty());
            }
            return mLedger.apply(offset, timeMillis, record.get());
        }
    }

    /** Forgets everything because older records of the stream can no longer be read. */
    public void restart(long firstOffset) {
        synchronized (mLock) {
            mLedger.restart(firstOffset);
        }
    }

    /** Returns the offset from which the stream must be read. */
    public long nextOffset() {
        synchronized (mLock) {
            return mLedger.nextOffset();
        }
    }

    /**
     * Estimates the log's clock, in milliseconds since 1970: the time of the newest record plus the
     * time since it was read.
     */
    public long logMillis() {
        synchronized (mLock) {
            return mLedger.logTimeMillis()
                    .map(now -> now + mTime.since(mNewestReadNanos).toMillis())
                    .orElseGet(mTime::millis);
        }
    }

    /** Returns how far the stream has been read. */
    public ReadPosition position() {
        synchronized (mLock) {
            return new ReadPosition(mLedger.nextOffset() - 1, mLedger.logTimeMillis().orElse(0L));
        }
    }

    /** Returns a job, or empty if it is not known. */
    public Optional<Job> find(JobId id) {
        synchronized (mLock) {
            return mLedger.find(id);
        }
    }

    /** Returns jobs of a team, the newest first. */
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

    /** Returns jobs that may be taken at a log time, the first accepted ones first. */
    public List<Job> available(long millis) {
        synchronized (mLock) {
            return mLedger.available(millis);
        }
    }

    /** Returns the log time of an unfinished job's last full state in the log. */
    public Optional<Long> checkpointedMillis(JobId id) {
        synchronized (mLock) {
            return mLedger.checkpointedMillis(id);
        }
    }

    private List<Job> all() {
        synchronized (mLock) {
            return mLedger.jobs();
        }
    }

    /** Returns unfinished jobs whose last full state in the log is older than a log time. */
    public List<Job> checkpointedBefore(long millis, int limit) {
        synchronized (mLock) {
            return mLedger.checkpointedBefore(millis, limit);
        }
    }

    /** Returns the number of jobs that have not ended. */
    public int unfinished() {
        synchronized (mLock) {
            return mLedger.unfinished();
        }
    }

    /** Returns the number of jobs of one status. */
    public int count(JobStatus status) {
        synchronized (mLock) {
            return mLedger.count(status);
        }
    }

    /**
     * How far the stream has been read.
     *
     * @param offset offset of the newest record; -1 if none was read
     * @param timeMillis its log time
     */
    public record ReadPosition(long offset, long timeMillis) {}
}
