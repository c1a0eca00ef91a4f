package org.boragethread.core.job;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.boragethread.core.claim.ClaimAnswer;
import org.boragethread.core.claim.ClaimService;
import org.boragethread.core.claim.ClaimStatus;
import org.boragethread.core.claim.ClaimView;
import org.boragethread.core.claim.KeyHash;
import org.boragethread.model.job.JobDecision;
import org.boragethread.model.job.JobId;
import org.boragethread.model.job.JobStatus;
import org.boragethread.model.outcome.ExecutionStatus;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;

/**
 * Settles held jobs. Before an effect may run again, the agent of the earlier claim is asked to
 * fence it, so that a mistaken decision of an operator does not run the effect twice while the
 * earlier call is still in transit.
 */
public final class JobSettlementService {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(5);

    private final JobService mJobs;
    private final ClaimService mClaims;

    /** Creates a service for jobs whose effects are claimed through {@code claims}. */
    public JobSettlementService(JobService jobs, ClaimService claims) {
        mJobs = Objects.requireNonNull(jobs, "jobs");
        mClaims = Objects.requireNonNull(claims, "claims");
    }

    /**
     * Settles a held job by an operator's decision.
     *
     * @param remaining maximum time to wait until the decision is in the log
     * @return the settled job, or why it is not settled: it is not held, its effect ran or is still
     *     running, or its agent is unreachable
     */
    public CompletableFuture<Either<Refusal, Job>> settle(
            JobId id, JobDecision decision, Duration remaining) {
        Optional<Job> held = mJobs.find(id).filter(j -> j.status() == JobStatus.HELD);
        if (held.isEmpty() || decision != JobDecision.NOT_RUN) {
            return mJobs.settle(id, decision, remaining);
        }
        return reasonNotToRerun(held.get())
                .thenCompose(
                        refusal ->
                                refusal.isPresent()
                                        ? CompletableFuture.completedFuture(
                                                Either.left(refusal.get()))
                                        : mJobs.settle(id, decision, remaining));
    }

    private CompletableFuture<Optional<Refusal>> reasonNotToRerun(Job job) {
        String key = job.effectKey(job.stagesDone());
        Optional<ClaimView> claim = mClaims.table().find(KeyHash.of(job.spec().team(), key));
        if (claim.isEmpty() || claim.get().status() == ClaimStatus.RELEASED) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        if (claim.get().status() == ClaimStatus.DONE) {
            return CompletableFuture.completedFuture(Optional.of(effectRan(job)));
        }
        if (claim.get().assignment().isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return mClaims.recovery()
                .recover(claim.get(), true)
                .thenApply(answer -> reasonNotToRerun(job, answer));
    }

    // An agent that answers anything else has no such call in transit. Whether the effect ran at
    // the upstream has been checked by the operator.
    private static Optional<Refusal> reasonNotToRerun(Job job, Optional<ClaimAnswer> answer) {
        if (answer.isEmpty()) {
            return Optional.of(effectMayStillRun(job, "its agent is unreachable"));
        }
        return switch (answer.get().state()) {
            case DONE -> Optional.of(effectRan(job));
            case RUNNING -> Optional.of(effectMayStillRun(job, "it is running"));
            default -> Optional.empty();
        };
    }

    private static Refusal effectRan(Job job) {
        String detail = "the effect of job %s ran; settle it as run".formatted(job.id());
        return new Refusal(
                RefusalReason.BAD_REQUEST, ExecutionStatus.YES, detail, Optional.empty());
    }

    private static Refusal effectMayStillRun(Job job, String reason) {
        String detail =
                "the effect of job %s may still run (%s); settle it later, or as run or given up"
                        .formatted(job.id(), reason);
        return new Refusal(
                RefusalReason.KEY_IN_PROGRESS,
                ExecutionStatus.UNKNOWN,
                detail,
                Optional.of(RETRY_AFTER));
    }
}
