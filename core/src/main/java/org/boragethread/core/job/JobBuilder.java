package org.boragethread.core.job;

import java.util.Optional;
import org.boragethread.model.job.JobId;
import org.boragethread.model.job.JobStatus;

/** Builds a {@link Job}, from scratch or from an existing state. */
final class JobBuilder {

    private final JobId mId;
    private final JobSpec mSpec;
    private final long mAcceptedMillis;
    private Blob mBody;
    private JobStatus mStatus = JobStatus.WAITING;
    private int mStagesDone;
    private Optional<Blob> mLastStageResult = Optional.empty();
    private Optional<Job.EffectMark> mEffect = Optional.empty();
    private int mRound;
    private Optional<Lease> mLease = Optional.empty();
    private long mNotBeforeMillis;
    private Optional<Blob> mResult = Optional.empty();
    private int mResultStatus;
    private String mDetail = "";
    private long mChangedMillis;

    JobBuilder(JobId id, JobSpec spec, Blob body, long acceptedMillis) {
        mId = id;
        mSpec = spec;
        mBody = body;
        mAcceptedMillis = acceptedMillis;
        mChangedMillis = acceptedMillis;
    }

    JobBuilder(Job job) {
        this(job.id(), job.spec(), job.body(), job.acceptedMillis());
        mStatus = job.status();
        mStagesDone = job.stagesDone();
        mLastStageResult = job.lastStageResult();
        mEffect = job.effect();
        mRound = job.round();
        mLease = job.lease();
        mNotBeforeMillis = job.notBeforeMillis();
        mResult = job.result();
        mResultStatus = job.resultStatus();
        mDetail = job.detail();
        mChangedMillis = job.changedMillis();
    }

    JobBuilder changedMillis(long millis) {
        mChangedMillis = millis;
        return this;
    }

    JobBuilder body(Blob body) {
        mBody = body;
        return this;
    }

    JobBuilder lastStageResult(Optional<Blob> result) {
        mLastStageResult = result;
        return this;
    }

    JobBuilder running(Lease lease) {
        mStatus = JobStatus.RUNNING;
        mLease = Optional.of(lease);
        mDetail = "";
        return this;
    }

    JobBuilder ended(JobStatus status, String detail) {
        mStatus = status;
        mLease = Optional.empty();
        mDetail = detail;
        return this;
    }

    JobBuilder waiting(long notBeforeMillis, String detail) {
        mNotBeforeMillis = notBeforeMillis;
        return ended(JobStatus.WAITING, detail);
    }

    JobBuilder stageDone(Blob result) {
        mStagesDone++;
        mLastStageResult = Optional.of(result);
        mEffect = Optional.empty();
        return this;
    }

    JobBuilder effect(Optional<Job.EffectMark> effect) {
        mEffect = effect;
        return this;
    }

    JobBuilder nextRound() {
        mRound++;
        mEffect = Optional.empty();
        return this;
    }

    JobBuilder result(int status, Blob result) {
        mResultStatus = status;
        mResult = Optional.of(result);
        mEffect = Optional.empty();
        return this;
    }

    Job build() {
        return new Job(
                mId,
                mSpec,
                mBody,
                mStatus,
                mStagesDone,
                mLastStageResult,
                mEffect,
                mRound,
                mLease,
                mNotBeforeMillis,
                mResult,
                mResultStatus,
                mDetail,
                mAcceptedMillis,
                mChangedMillis);
    }
}
