package org.boragethread.core.job;

import java.util.List;
import java.util.Optional;
import org.boragethread.model.job.JobStatus;

/** State transitions of an unfinished job. */
final class JobTransitions {

    private static final int SETTLED_STATUS = 204;
    private static final Blob EMPTY = new Blob("", List.of(), 0);

    private JobTransitions() {}

    /** Returns the state after a record, or empty if the record is ignored. */
    static Optional<Job> next(Job job, JobRecord record, long offset, long now, JobPolicy policy) {
        if (record instanceof JobRecord.LeaseAcquired acquired) {
            return acquireLease(job, acquired, offset, now);
        }
        if (record instanceof JobRecord.Cancelled) {
            return Optional.of(
                    job.toBuilder(now).ended(JobStatus.CANCELLED, cancelDetail(job)).build());
        }
        if (record instanceof JobRecord.Settled settled) {
            return settle(job, settled, now);
        }
        boolean hasLease = job.isLeasedUnder(fenceOf(record));
        boolean mayChange = policy.checksFence() ? hasLease : job.status() == JobStatus.RUNNING;
        return mayChange ? applyUnderLease(job, record, offset, now) : Optional.empty();
    }

    private static String cancelDetail(Job job) {
        return job.effect()
                .map(e -> "cancelled while the effect of stage %d may run".formatted(e.stage()))
                .orElse("cancelled");
    }

    private static long fenceOf(JobRecord record) {
        if (record instanceof JobRecord.LeaseRenewed renewed) {
            return renewed.fence();
        }
        if (record instanceof JobRecord.EffectStarted started) {
            return started.fence();
        }
        if (record instanceof JobRecord.StageDone done) {
            return done.fence();
        }
        if (record instanceof JobRecord.Finished finished) {
            return finished.fence();
        }
        if (record instanceof JobRecord.Held held) {
            return held.fence();
        }
        return ((JobRecord.LeaseReleased) record).fence();
    }

    private static Optional<Job> acquireLease(
            Job job, JobRecord.LeaseAcquired acquired, long offset, long now) {
        if (!job.isAvailable(now)) {
            return Optional.empty();
        }
        Lease lease = new Lease(offset, acquired.entry(), now + acquired.leaseMillis());
        return Optional.of(job.toBuilder(now).running(lease).build());
    }

    private static Optional<Job> settle(Job job, JobRecord.Settled settled, long now) {
        if (job.status() != JobStatus.HELD || settled.round() != job.round()) {
            return Optional.empty();
        }
        JobBuilder change = job.toBuilder(now);
        return Optional.of(
                switch (settled.decision()) {
                    case RAN ->
                            change.result(SETTLED_STATUS, EMPTY)
                                    .ended(JobStatus.FINISHED, "settled as run")
                                    .build();
                    case NOT_RUN -> change.nextRound().waiting(now, "settled as not run").build();
                    default -> change.ended(JobStatus.CANCELLED, "settled as given up").build();
                });
    }

    private static Optional<Job> applyUnderLease(Job job, JobRecord record, long offset, long now) {
        if (record instanceof JobRecord.LeaseRenewed renewed) {
            return Optional.of(renewLease(job, renewed, now));
        }
        if (record instanceof JobRecord.EffectStarted started) {
            return startEffect(job, started, now);
        }
        if (record instanceof JobRecord.StageDone done) {
            return finishStage(job, done, offset, now);
        }
        if (record instanceof JobRecord.Finished finished) {
            return Optional.of(finish(job, finished, offset, now));
        }
        if (record instanceof JobRecord.Held held) {
            return Optional.of(job.toBuilder(now).ended(JobStatus.HELD, held.detail()).build());
        }
        JobRecord.LeaseReleased released = (JobRecord.LeaseReleased) record;
        return Optional.of(releaseLease(job, released, now));
    }

    private static Job releaseLease(Job job, JobRecord.LeaseReleased released, long now) {
        return job.toBuilder(now)
                .effect(released.effectNotRun() ? Optional.empty() : job.effect())
                .waiting(now + released.delayMillis(), released.detail())
                .build();
    }

    private static Job renewLease(Job job, JobRecord.LeaseRenewed renewed, long now) {
        Lease old = job.lease().orElseThrow();
        Lease lease = new Lease(old.fence(), old.holder(), now + renewed.leaseMillis());
        return job.toBuilder(now).running(lease).build();
    }

    private static Optional<Job> startEffect(Job job, JobRecord.EffectStarted started, long now) {
        if (started.stage() != job.stagesDone()) {
            return Optional.empty();
        }
        if (job.effect().isPresent()) {
            return Optional.of(job);
        }
        Job.EffectMark effect = new Job.EffectMark(started.stage(), now);
        return Optional.of(job.toBuilder(now).effect(Optional.of(effect)).build());
    }

    private static Optional<Job> finishStage(
            Job job, JobRecord.StageDone done, long offset, long now) {
        if (done.stage() != job.stagesDone()) {
            return Optional.empty();
        }
        return Optional.of(job.toBuilder(now).stageDone(done.result().resolve(offset)).build());
    }

    private static Job finish(Job job, JobRecord.Finished finished, long offset, long now) {
        JobStatus status = finished.failed() ? JobStatus.FAILED : JobStatus.FINISHED;
        String detail = finished.detail() == null ? "" : finished.detail();
        return job.toBuilder(now)
                .result(finished.status(), finished.result().resolve(offset))
                .ended(status, detail)
                .build();
    }
}
