package org.boragethread.entry.serve;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.core.config.ConfigListener;
import org.boragethread.core.job.Job;
import org.boragethread.core.job.JobService;
import org.boragethread.core.job.JobSettlementService;
import org.boragethread.core.time.Scheduler;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.config.JobSettlement;
import org.boragethread.model.config.Versioned;
import org.boragethread.model.job.JobDecision;
import org.boragethread.model.job.JobId;
import org.boragethread.model.job.JobStatus;
import org.boragethread.model.outcome.Refusal;

/**
 * Settles held jobs as decided in operators' confirmed plans.
 *
 * <p>Only plans that take effect after this entry has read all jobs are applied, so that an old
 * settlement is never applied when the same job is held again. For the same reason "not run" is
 * applied only the first time a job is held; afterwards the job can be settled as run, or
 * cancelled.
 */
final class JobSettlementListener implements ConfigListener {

    private static final Logger LOGGER = LogManager.getLogger(JobSettlementListener.class);
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
    private static final int MAX_ATTEMPTS = 60;

    private final JobService mJobs;
    private final JobSettlementService mSettlements;
    private final BooleanSupplier mIsReady;
    private final Scheduler mScheduler;
    private long mLastRevision = Configuration.NO_REVISION;

    /**
     * Creates a listener.
     *
     * @param isReady whether the configuration and job streams have been read to their ends
     */
    JobSettlementListener(
            JobService jobs,
            JobSettlementService settlements,
            BooleanSupplier isReady,
            Scheduler scheduler) {
        mJobs = jobs;
        mSettlements = settlements;
        mIsReady = isReady;
        mScheduler = scheduler;
    }

    @Override
    public synchronized void onConfiguration(Configuration configuration) {
        if (mIsReady.getAsBoolean()) {
            for (Map.Entry<String, Versioned<JobSettlement>> settlement :
                    configuration.settledJobs().entrySet()) {
                if (settlement.getValue().revision() > mLastRevision) {
                    settle(
                            new JobId(settlement.getKey()),
                            settlement.getValue().value(),
                            MAX_ATTEMPTS);
                }
            }
        }
        mLastRevision = configuration.revision();
    }

    private void settle(JobId id, JobSettlement settlement, int attempts) {
        Optional<Job> held = mJobs.find(id).filter(job -> job.status() == JobStatus.HELD);
        if (held.isEmpty() || attempts == 0) {
            return;
        }
        if (settlement == JobSettlement.NOT_RUN && held.get().round() > 0) {
            LOGGER.warn("job {} is held again; settle it as run or cancel it", id);
            return;
        }
        JobDecision decision =
                settlement == JobSettlement.RAN ? JobDecision.RAN : JobDecision.NOT_RUN;
        mSettlements
                .settle(id, decision, TIMEOUT)
                .thenAccept(result -> onSettled(id, settlement, attempts, result));
    }

    private void onSettled(
            JobId id, JobSettlement settlement, int attempts, Either<Refusal, Job> result) {
        if (result.isRight()) {
            LOGGER.info("settled job {} as {}", id, settlement);
            return;
        }
        LOGGER.warn("failed to settle job {}: {}", id, result.getLeft().detail());
        if (result.getLeft().retryAfter().isPresent()) {
            mScheduler.schedule(RETRY_DELAY, () -> settle(id, settlement, attempts - 1));
        }
    }
}
