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
 * Pure fold of the job stream: the same records give the same state in every process. It reads no
 * clock; leases and retention are judged by the log times of records. Not safe for use by several
 * threads.
 *
 * <p>A fold that starts after the stream's beginning learns earlier jobs from their checkpoints.
 * Until {@link JobSettings#warmUp} has passed, it cannot tell who holds a key that appears, and
 * takes a job with a key only once another entry has confirmed it.
 */
public final class JobStateMachine {

    private static final long UNKNOWN_TIME = Long.MIN_VALUE;
    private static final long NEVER = -1;

    private final JobSettings mSettings;
    private final JobPolicy mRules;
    // In order of acceptance or first checkpoint.
    private final Map<JobId, Slot> mJobs = new LinkedHashMap<>();
    private final Map<KeyHash, JobId> mByKey = new HashMap<>();
    // Ended jobs in the order in which they ended.
    private final Map<JobId, Long> mEnded = new LinkedHashMap<>();
    // Jobs that are not known here, with the last record about them.
    private final Map<JobId, Touch> mStrangers = new LinkedHashMap<>();
    // Submissions that may lose to a holder of their key that is not known here.
    private final Map<JobId, Job> mCandidates = new LinkedHashMap<>();
    private final Map<JobId, Long> mSubmitted = new LinkedHashMap<>();
    private long mNextOffset;
    private long mNowMillis = UNKNOWN_TIME;
    private long mStartMillis = UNKNOWN_TIME;
    private boolean mTruncated;

    /** Makes the ledger of a stream that is read from its beginning. */
    public JobStateMachine(JobSettings settings) {
        this(settings, JobPolicy.STRICT);
    }

    JobStateMachine(JobSettings settings, JobPolicy rules) {
        mSettings = settings;
        mRules = rules;
    }

    /**
     * Forgets everything and starts again at an offset. A start above 0 misses older records.
     *
     * @param firstOffset offset of the next record
     */
    public void restart(long firstOffset) {
        mJobs.clear();
        mByKey.clear();
        mEnded.clear();
        mStrangers.clear();
        mCandidates.clear();
        mSubmitted.clear();
        mNextOffset = firstOffset;
        mNowMillis = UNKNOWN_TIME;
        mStartMillis = UNKNOWN_TIME;
        mTruncated = firstOffset > 0;
    }

    /** Moves past a record that is not a job record. */
    public void skip(long offset, long timeMillis) {
        advance(offset, timeMillis);
    }

    /**
     * Applies the next record.
     *
     * @param offset the record's offset; a smaller one than {@link #nextOffset} is ignored
     * @param timeMillis the record's log time, in milliseconds since 1970
     * @return what the record did
     */
    public JobApplyResult apply(long offset, long timeMillis, JobRecord record) {
        if (offset < mNextOffset) {
            return JobApplyResult.ignored(find(record.job()));
        }
        advance(offset, timeMillis);
        if (record instanceof JobRecord.Part) {
            return JobApplyResult.ignored(Optional.empty());
        }
        JobApplyResult verdict = judge(offset, record);
        touch(record.job(), offset);
        return verdict;
    }

    private void advance(long offset, long timeMillis) {
        if (offset > mNextOffset) {
            restart(offset);
        }
        mNextOffset = offset + 1;
        mNowMillis = Math.max(mNowMillis, timeMillis);
        if (mStartMillis == UNKNOWN_TIME) {
            mStartMillis = mNowMillis;
        }
        expire();
    }

    private void expire() {
        long endedBefore = mNowMillis - mSettings.endedRetention().toMillis();
        Iterator<Map.Entry<JobId, Long>> ended = mEnded.entrySet().iterator();
        while (ended.hasNext()) {
            Map.Entry<JobId, Long> oldest = ended.next();
            if (oldest.getValue() > endedBefore) {
                break;
            }
            ended.remove();
            forget(oldest.getKey());
        }
        long touchedBefore = mNowMillis - mSettings.lateLimit().toMillis();
        removeOldest(mStrangers, touch -> touch.timeMillis() < touchedBefore);
        removeOldest(mCandidates, job -> job.acceptedMillis() < touchedBefore);
        forgetUnconfirmed(touchedBefore);
    }

    private void forgetUnconfirmed(long before) {
        Iterator<Map.Entry<JobId, Long>> submitted = mSubmitted.entrySet().iterator();
        while (submitted.hasNext()) {
            Map.Entry<JobId, Long> oldest = submitted.next();
            if (oldest.getValue() >= before) {
                return;
            }
            submitted.remove();
            forget(oldest.getKey());
        }
    }

    private static <K, V> void removeOldest(Map<K, V> map, Predicate<V> isOver) {
        Iterator<V> values = map.values().iterator();
        while (values.hasNext() && isOver.test(values.next())) {
            values.remove();
        }
    }

    private void forget(JobId id) {
        Slot slot = mJobs.remove(id);
        slot.mJob.spec().key().ifPresent(key -> mByKey.remove(key, id));
    }

    private void touch(JobId id, long offset) {
        Slot slot = mJobs.get(id);
        if (slot == null) {
            mStrangers.remove(id);
            mStrangers.put(id, new Touch(offset, mNowMillis));
        } else {
            slot.mTouchedOffset = offset;
        }
    }

    private JobApplyResult judge(long offset, JobRecord record) {
        if (record instanceof JobRecord.Submitted accepted) {
            return accept(offset, accepted);
        }
        if (record instanceof JobRecord.Checkpoint checkpoint) {
            return restore(checkpoint);
        }
        if (record instanceof JobRecord.Confirmed) {
            return confirm(record.job());
        }
        Slot slot = mJobs.get(record.job());
        if (slot == null || !mayChange(slot.mJob.status())) {
            return JobApplyResult.ignored(find(record.job()));
        }
        Optional<Job> next = JobTransitions.next(slot.mJob, record, offset, mNowMillis, mRules);
        if (next.isEmpty()) {
            return JobApplyResult.ignored(Optional.of(slot.mJob));
        }
        put(slot, next.get());
        return JobApplyResult.applied(next.get());
    }

    private static boolean mayChange(JobStatus status) {
        return !status.isFinal() && status != JobStatus.SUBMITTED;
    }

    private JobApplyResult accept(long offset, JobRecord.Submitted accepted) {
        Optional<Job> known = find(accepted.job());
        if (known.isPresent() || isVoid(accepted)) {
            return JobApplyResult.ignored(known);
        }
        Optional<KeyHash> key = accepted.spec().key();
        Optional<Job> owner = key.flatMap(this::findByKey);
        if (owner.isPresent()) {
            boolean isSame = owner.get().spec().bodyHash() == accepted.spec().bodyHash();
            return JobApplyResult.of(
                    isSame ? JobApplyResult.Kind.EXISTS : JobApplyResult.Kind.KEY_REUSED,
                    owner.get());
        }
        Blob body = accepted.body().resolve(offset);
        JobBuilder job = new JobBuilder(accepted.job(), accepted.spec(), body, mNowMillis);
        if (key.isEmpty()) {
            add(job.build());
            return JobApplyResult.applied(job.build());
        }
        return submit(job.ended(JobStatus.SUBMITTED, "").build());
    }

    // A repeated submission may be of a job that has ended, also before the first record kept.
    private boolean isVoid(JobRecord.Submitted accepted) {
        long lateLimit = mSettings.lateLimit().toMillis();
        return mNowMillis - accepted.createdMillis() > lateLimit
                || mStrangers.containsKey(accepted.job())
                || (mTruncated && mNowMillis - mStartMillis <= lateLimit);
    }

    private JobApplyResult submit(Job job) {
        if (mTruncated && mNowMillis - mStartMillis < mSettings.warmUp().toMillis()) {
            mCandidates.put(job.id(), job);
            return JobApplyResult.ignored(Optional.empty());
        }
        add(job);
        mSubmitted.put(job.id(), mNowMillis);
        return JobApplyResult.applied(job);
    }

    private JobApplyResult confirm(JobId id) {
        Job candidate = mCandidates.remove(id);
        if (candidate != null) {
            add(candidate);
        }
        Optional<Job> job = find(id);
        if (job.filter(j -> j.status() == JobStatus.SUBMITTED).isEmpty()) {
            return JobApplyResult.ignored(job);
        }
        mSubmitted.remove(id);
        Job confirmed = job.get().toBuilder(mNowMillis).waiting(mNowMillis, "").build();
        put(mJobs.get(id), confirmed);
        return JobApplyResult.applied(confirmed);
    }

    private JobApplyResult restore(JobRecord.Checkpoint checkpoint) {
        Slot slot = mJobs.get(checkpoint.job());
        Optional<Job> known = find(checkpoint.job());
        boolean isLate = mNowMillis - checkpoint.asOfMillis() > mSettings.lateLimit().toMillis();
        if (isLate || lastTouch(checkpoint.job()) > checkpoint.asOfOffset()) {
            return JobApplyResult.ignored(known);
        }
        if (slot == null && !seesAllSince(checkpoint)) {
            return JobApplyResult.ignored(known);
        }
        if (slot == null) {
            add(checkpoint.state());
        } else {
            put(slot, checkpoint.state());
            slot.mAnchoredMillis = mNowMillis;
        }
        return JobApplyResult.applied(checkpoint.state());
    }

    private long lastTouch(JobId id) {
        Slot slot = mJobs.get(id);
        if (slot != null) {
            return slot.mTouchedOffset;
        }
        Touch touch = mStrangers.get(id);
        return touch == null ? NEVER : touch.offset();
    }

    // A job that is not known although nothing was missed has ended and been forgotten.
    private boolean seesAllSince(JobRecord.Checkpoint checkpoint) {
        return mTruncated
                && mNowMillis - mStartMillis > mSettings.lateLimit().toMillis()
                && !checkpoint.state().status().isFinal();
    }

    private void add(Job job) {
        Slot slot = new Slot(mNowMillis);
        mJobs.put(job.id(), slot);
        mStrangers.remove(job.id());
        job.spec().key().ifPresent(key -> mByKey.putIfAbsent(key, job.id()));
        put(slot, job);
    }

    private void put(Slot slot, Job job) {
        slot.mJob = job;
        if (job.status().isFinal()) {
            mEnded.put(job.id(), mNowMillis);
        }
    }

    /** Returns a job, or empty if it is not known or was forgotten some time after its end. */
    public Optional<Job> find(JobId id) {
        return Optional.ofNullable(mJobs.get(id)).map(slot -> slot.mJob);
    }

    /** Returns the job that was submitted with a key. */
    public Optional<Job> findByKey(KeyHash key) {
        return Optional.ofNullable(mByKey.get(key)).flatMap(this::find);
    }

    /** Returns all jobs, the first accepted ones first. */
    public List<Job> jobs() {
        List<Job> jobs = new ArrayList<>();
        Collection<Slot> slots = mJobs.values();
        slots.forEach(slot -> jobs.add(slot.mJob));
        return jobs;
    }

    /** Returns unfinished jobs whose last full state in the log is older than a log time. */
    public List<Job> checkpointedBefore(long millis, int limit) {
        List<Job> jobs = new ArrayList<>();
        for (Slot slot : mJobs.values()) {
            if (jobs.size() >= limit) {
                return jobs;
            }
            if (!slot.mJob.status().isFinal() && slot.mAnchoredMillis < millis) {
                jobs.add(slot.mJob);
            }
        }
        return jobs;
    }

    /** Returns the log time of an unfinished job's last full state in the log. */
    public Optional<Long> checkpointedMillis(JobId id) {
        return Optional.ofNullable(mJobs.get(id)).map(slot -> slot.mAnchoredMillis);
    }

    /** Returns jobs that may be taken at a log time, the first accepted ones first. */
    public List<Job> available(long millis) {
        List<Job> free = new ArrayList<>();
        for (Slot slot : mJobs.values()) {
            if (slot.mJob.isAvailable(millis)) {
                free.add(slot.mJob);
            }
        }
        return free;
    }

    /** Returns the number of jobs that have not ended. */
    public int unfinished() {
        return mJobs.size() - mEnded.size();
    }

    /** Returns the number of jobs of one status. */
    public int count(JobStatus status) {
        return (int) mJobs.values().stream().filter(s -> s.mJob.status() == status).count();
    }

    /** Returns the offset of the record that must come next. */
    public long nextOffset() {
        return mNextOffset;
    }

    /** Returns the log time of the newest record, or empty before the first. */
    public Optional<Long> logTimeMillis() {
        return mNowMillis == UNKNOWN_TIME ? Optional.empty() : Optional.of(mNowMillis);
    }

    private static final class Slot {

        private Job mJob;
        private long mTouchedOffset = NEVER;
        private long mAnchoredMillis;

        Slot(long anchoredMillis) {
            mAnchoredMillis = anchoredMillis;
        }
    }

    private record Touch(long offset, long timeMillis) {}
}
