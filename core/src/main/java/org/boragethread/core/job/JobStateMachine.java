package org.boragethread.core.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.boragethread.core.claim.KeyHash;
import org.boragethread.model.job.JobId;
import org.boragethread.model.job.JobStatus;

/**
 * Deterministic state machine over the job stream: every process that applies the same records
 * reaches the same state. It reads no clock; leases and retention are evaluated against the log
 * times of records. Not thread-safe.
 *
 * <p>An instance that starts after the beginning of the stream restores earlier jobs from their
 * checkpoints. Until {@link JobSettings#warmUp} has passed, it cannot tell who holds a key it
 * encounters, and accepts a job with a key only after another entry has confirmed it.
 */
public final class JobStateMachine {

    private static final long UNKNOWN_TIME = Long.MIN_VALUE;
    private static final long NO_OFFSET = -1;

    private final JobSettings mSettings;
    private final JobPolicy mPolicy;
    // Ordered by acceptance or first checkpoint.
    private final Map<JobId, TrackedJob> mJobs = new LinkedHashMap<>();
    private final Map<KeyHash, JobId> mByKey = new HashMap<>();
    // Log times at which jobs ended, oldest first.
    private final Map<JobId, Long> mEnded = new LinkedHashMap<>();
    // Last record of each job whose state is unknown, oldest first.
    private final Map<JobId, LastRecord> mUnknownJobs = new LinkedHashMap<>();
    // Submissions whose key may be held by a job that is unknown here.
    private final Map<JobId, Job> mUncertainSubmissions = new LinkedHashMap<>();
    // Log times of submissions with a key that are not confirmed yet, oldest first.
    private final Map<JobId, Long> mUnconfirmed = new LinkedHashMap<>();
    private long mNextOffset;
    private long mLogTimeMillis = UNKNOWN_TIME;
    private long mStartMillis = UNKNOWN_TIME;
    private boolean mTruncated;

    /** Creates the state machine of a stream that is read from its beginning. */
    public JobStateMachine(JobSettings settings) {
        this(settings, JobPolicy.STRICT);
    }

    JobStateMachine(JobSettings settings, JobPolicy policy) {
        mSettings = settings;
        mPolicy = policy;
    }

    /**
     * Clears all state and restarts at an offset. Older records are missed if the offset is above
     * 0.
     *
     * @param firstOffset offset of the next record
     */
    public void restart(long firstOffset) {
        mJobs.clear();
        mByKey.clear();
        mEnded.clear();
        mUnknownJobs.clear();
        mUncertainSubmissions.clear();
        mUnconfirmed.clear();
        mNextOffset = firstOffset;
        mLogTimeMillis = UNKNOWN_TIME;
        mStartMillis = UNKNOWN_TIME;
        mTruncated = firstOffset > 0;
    }

    /** Skips a record that is not a job record. */
    public void skip(long offset, long timeMillis) {
        advance(offset, timeMillis);
    }

    /**
     * Applies the next record.
     *
     * @param offset the record's offset; records below {@link #nextOffset} are ignored
     * @param timeMillis the record's log time, in milliseconds since the Unix epoch
     * @return the effect of the record
     */
    public JobApplyResult apply(long offset, long timeMillis, JobRecord record) {
        if (offset < mNextOffset) {
            return JobApplyResult.ignored(find(record.job()));
        }
        advance(offset, timeMillis);
        if (record instanceof JobRecord.Part) {
            return JobApplyResult.ignored(Optional.empty());
        }
        JobApplyResult result = applyByType(offset, record);
        recordOffset(record.job(), offset);
        return result;
    }

    private void advance(long offset, long timeMillis) {
        if (offset > mNextOffset) {
            restart(offset);
        }
        mNextOffset = offset + 1;
        mLogTimeMillis = Math.max(mLogTimeMillis, timeMillis);
        if (mStartMillis == UNKNOWN_TIME) {
            mStartMillis = mLogTimeMillis;
        }
        expire();
    }

    private void expire() {
        long endedBefore = mLogTimeMillis - mSettings.endedRetention().toMillis();
        Iterator<Map.Entry<JobId, Long>> ended = mEnded.entrySet().iterator();
        while (ended.hasNext()) {
            Map.Entry<JobId, Long> oldest = ended.next();
            if (oldest.getValue() > endedBefore) {
                break;
            }
            ended.remove();
            forget(oldest.getKey());
        }
        long lateBefore = mLogTimeMillis - mSettings.lateLimit().toMillis();
        removeOldest(mUnknownJobs, last -> last.timeMillis() < lateBefore);
        removeOldest(mUncertainSubmissions, job -> job.acceptedMillis() < lateBefore);
        forgetUnconfirmed(lateBefore);
    }

    private void forgetUnconfirmed(long before) {
        Iterator<Map.Entry<JobId, Long>> submitted = mUnconfirmed.entrySet().iterator();
        while (submitted.hasNext()) {
            Map.Entry<JobId, Long> oldest = submitted.next();
            if (oldest.getValue() >= before) {
                return;
            }
            submitted.remove();
            forget(oldest.getKey());
        }
    }

    private static <K, V> void removeOldest(Map<K, V> map, Predicate<V> isExpired) {
        Iterator<V> values = map.values().iterator();
        while (values.hasNext() && isExpired.test(values.next())) {
            values.remove();
        }
    }

    private void forget(JobId id) {
        TrackedJob tracked = mJobs.remove(id);
        tracked.mJob.spec().key().ifPresent(key -> mByKey.remove(key, id));
    }

    private void recordOffset(JobId id, long offset) {
        TrackedJob tracked = mJobs.get(id);
        if (tracked == null) {
            mUnknownJobs.remove(id);
            mUnknownJobs.put(id, new LastRecord(offset, mLogTimeMillis));
        } else {
            tracked.mLastOffset = offset;
        }
    }

    private JobApplyResult applyByType(long offset, JobRecord record) {
        if (record instanceof JobRecord.Submitted submitted) {
            return accept(offset, submitted);
        }
        if (record instanceof JobRecord.Checkpoint checkpoint) {
            return restore(checkpoint);
        }
        if (record instanceof JobRecord.Confirmed) {
            return confirm(record.job());
        }
        TrackedJob tracked = mJobs.get(record.job());
        if (tracked == null || !mayChange(tracked.mJob.status())) {
            return JobApplyResult.ignored(find(record.job()));
        }
        Optional<Job> next =
                JobTransitions.next(tracked.mJob, record, offset, mLogTimeMillis, mPolicy);
        if (next.isEmpty()) {
            return JobApplyResult.ignored(Optional.of(tracked.mJob));
        }
        put(tracked, next.get());
        return JobApplyResult.applied(next.get());
    }

    private static boolean mayChange(JobStatus status) {
        return !status.isFinal() && status != JobStatus.SUBMITTED;
    }

    private JobApplyResult accept(long offset, JobRecord.Submitted submitted) {
        Optional<Job> known = find(submitted.job());
        if (known.isPresent() || isRejected(submitted)) {
            return JobApplyResult.ignored(known);
        }
        Optional<KeyHash> key = submitted.spec().key();
        Optional<Job> owner = key.flatMap(this::findByKey);
        if (owner.isPresent()) {
            boolean isSame = owner.get().spec().bodyHash() == submitted.spec().bodyHash();
            return JobApplyResult.of(
                    isSame ? JobApplyResult.Kind.EXISTS : JobApplyResult.Kind.KEY_REUSED,
                    owner.get());
        }
        Blob body = submitted.body().resolve(offset);
        JobBuilder job = new JobBuilder(submitted.job(), submitted.spec(), body, mLogTimeMillis);
        if (key.isEmpty()) {
            add(job.build());
            return JobApplyResult.applied(job.build());
        }
        return submit(job.ended(JobStatus.SUBMITTED, "").build());
    }

    // A repeated or late submission may belong to a job that has already ended, possibly before the
    // first record that the log still holds.
    private boolean isRejected(JobRecord.Submitted submitted) {
        long lateLimit = mSettings.lateLimit().toMillis();
        return mLogTimeMillis - submitted.createdMillis() > lateLimit
                || mUnknownJobs.containsKey(submitted.job())
                || (mTruncated && mLogTimeMillis - mStartMillis <= lateLimit);
    }

    private JobApplyResult submit(Job job) {
        if (mTruncated && mLogTimeMillis - mStartMillis < mSettings.warmUp().toMillis()) {
            mUncertainSubmissions.put(job.id(), job);
            return JobApplyResult.ignored(Optional.empty());
        }
        add(job);
        mUnconfirmed.put(job.id(), mLogTimeMillis);
        return JobApplyResult.applied(job);
    }

    private JobApplyResult confirm(JobId id) {
        Job uncertain = mUncertainSubmissions.remove(id);
        if (uncertain != null) {
            add(uncertain);
        }
        Optional<Job> job = find(id);
        if (job.filter(j -> j.status() == JobStatus.SUBMITTED).isEmpty()) {
            return JobApplyResult.ignored(job);
        }
        mUnconfirmed.remove(id);
        Job confirmed = job.get().toBuilder(mLogTimeMillis).waiting(mLogTimeMillis, "").build();
        put(mJobs.get(id), confirmed);
        return JobApplyResult.applied(confirmed);
    }

    private JobApplyResult restore(JobRecord.Checkpoint checkpoint) {
        TrackedJob tracked = mJobs.get(checkpoint.job());
        Optional<Job> known = find(checkpoint.job());
        boolean isLate =
                mLogTimeMillis - checkpoint.asOfMillis() > mSettings.lateLimit().toMillis();
        if (isLate || lastOffset(checkpoint.job()) > checkpoint.asOfOffset()) {
            return JobApplyResult.ignored(known);
        }
        if (tracked == null && !isRestorable(checkpoint)) {
            return JobApplyResult.ignored(known);
        }
        if (tracked == null) {
            add(checkpoint.state());
        } else {
            put(tracked, checkpoint.state());
            tracked.mCheckpointedMillis = mLogTimeMillis;
        }
        return JobApplyResult.applied(checkpoint.state());
    }

    private long lastOffset(JobId id) {
        TrackedJob tracked = mJobs.get(id);
        if (tracked != null) {
            return tracked.mLastOffset;
        }
        LastRecord last = mUnknownJobs.get(id);
        return last == null ? NO_OFFSET : last.offset();
    }

    // An unknown job is restored only if this instance started after the beginning of the stream
    // and has since read every record that could outdate the checkpoint. Otherwise the job has
    // ended and its retention has expired.
    private boolean isRestorable(JobRecord.Checkpoint checkpoint) {
        return mTruncated
                && mLogTimeMillis - mStartMillis > mSettings.lateLimit().toMillis()
                && !checkpoint.state().status().isFinal();
    }

    private void add(Job job) {
        TrackedJob tracked = new TrackedJob(mLogTimeMillis);
        mJobs.put(job.id(), tracked);
        mUnknownJobs.remove(job.id());
        job.spec().key().ifPresent(key -> mByKey.putIfAbsent(key, job.id()));
        put(tracked, job);
    }

    private void put(TrackedJob tracked, Job job) {
        tracked.mJob = job;
        if (job.status().isFinal()) {
            mEnded.put(job.id(), mLogTimeMillis);
        }
    }

    /** Returns a job, or empty if it is unknown or its retention after its end has expired. */
    public Optional<Job> find(JobId id) {
        return Optional.ofNullable(mJobs.get(id)).map(tracked -> tracked.mJob);
    }

    /** Returns the job that was submitted with a key. */
    public Optional<Job> findByKey(KeyHash key) {
        return Optional.ofNullable(mByKey.get(key)).flatMap(this::find);
    }

    /** Returns all jobs, the earliest accepted first. */
    public List<Job> jobs() {
        List<Job> jobs = new ArrayList<>();
        Collection<TrackedJob> trackedJobs = mJobs.values();
        trackedJobs.forEach(tracked -> jobs.add(tracked.mJob));
        return jobs;
    }

    /** Returns unfinished jobs whose last submission or checkpoint precedes a log time. */
    public List<Job> checkpointedBefore(long millis, int limit) {
        List<Job> jobs = new ArrayList<>();
        for (TrackedJob tracked : mJobs.values()) {
            if (jobs.size() >= limit) {
                return jobs;
            }
            if (!tracked.mJob.status().isFinal() && tracked.mCheckpointedMillis < millis) {
                jobs.add(tracked.mJob);
            }
        }
        return jobs;
    }

    /** Returns the log time of a job's last submission or checkpoint. */
    public Optional<Long> checkpointedMillis(JobId id) {
        return Optional.ofNullable(mJobs.get(id)).map(tracked -> tracked.mCheckpointedMillis);
    }

    /** Returns the jobs available for a lease at a log time, the earliest accepted first. */
    public List<Job> available(long millis) {
        List<Job> available = new ArrayList<>();
        for (TrackedJob tracked : mJobs.values()) {
            if (tracked.mJob.isAvailable(millis)) {
                available.add(tracked.mJob);
            }
        }
        return available;
    }

    /** Returns the number of jobs that have not ended. */
    public int unfinished() {
        return mJobs.size() - mEnded.size();
    }

    /** Returns the number of jobs with a status. */
    public int count(JobStatus status) {
        return (int) mJobs.values().stream().filter(s -> s.mJob.status() == status).count();
    }

    /** Returns the offset of the next expected record. */
    public long nextOffset() {
        return mNextOffset;
    }

    /** Returns the log time of the newest record, or empty if none was applied. */
    public Optional<Long> logTimeMillis() {
        return mLogTimeMillis == UNKNOWN_TIME ? Optional.empty() : Optional.of(mLogTimeMillis);
    }

    private static final class TrackedJob {

        private Job mJob;
        private long mLastOffset = NO_OFFSET;
        private long mCheckpointedMillis;

        TrackedJob(long checkpointedMillis) {
            mCheckpointedMillis = checkpointedMillis;
        }
    }

    private record LastRecord(long offset, long timeMillis) {}
}
