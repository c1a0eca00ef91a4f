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
import org.boragethread.model.outcome.Ran;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;

/**
 * Settles held jobs. Before an effect may run again, the agent of the old claim is asked to refuse
 * it, so that an operator's error does not meet a call that is still on its way.
 */
public final class JobSettlementService {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(5);

    private final JobService mJobs;
    private final ClaimService mClaims;

    /** Makes settlements of the jobs whose effects are claimed in the given service. */
    public JobSettlementService(JobService jobs, ClaimService claims) {
        mJobs = Objects.requireNonNull(jobs, "jobs");
        mClaims = Objects.requireNonNull(claims, "claims");
    }

    /**
     * Settles a held job as an operator decided.
     *
     * @param remaining longest wait for the decision to be kept
     * @return the settled job, or why it is not settled: it is not held, its effect ran or still
     *     runs, or its agent cannot be reached now
     */
    public CompletableFuture<Either<Refusal, Job>> settle(
            JobId id, JobDecision decision, Duration remaining) {
        Optional<Job> held = mJobs.find(id).filter(j -> j.status() == JobStatus.HELD);
        if (held.isEmpty() || decision != JobDecision.NOT_RUN) {
            return mJobs.settle(id, decision, remaining);
        }
        return whyNotAgain(held.get())
                .thenCompose(
                        refusal ->
                                refusal.isPresent()
                                        ? CompletableFuture.completedFuture(
                                                Either.left(refusal.get()))
                                        : mJobs.settle(id, decision, remaining));
    }

    private CompletableFuture<Optional<Refusal>> whyNotAgain(Job job) {
        String key = job.effectKey(job.stagesDone());
        Optional<ClaimView> claim = mClaims.table().find(KeyHash.of(job.spec().team(), key));
        if (claim.isEmpty() || claim.get().status() == ClaimStatus.RELEASED) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        if (claim.get().status() == ClaimStatus.DONE) {
            return CompletableFuture.completedFuture(Optional.of(ran(job)));
        }
        if (claim.get().assignment().isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return mClaims.recovery()
                .recover(claim.get(), true)
                .thenApply(answer -> whyNotAgain(job, answer));
    }

    // An agent that cannot vouch has no call on its way; the operator has looked at the upstream.
    private static Optional<Refusal> whyNotAgain(Job job, Optional<ClaimAnswer> answer) {
        if (answer.isEmpty()) {
            return Optional.of(mayStillRun(job, "its agent cannot be reached"));
        }
        return switch (answer.get().state()) {
            case DONE -> Optional.of(ran(job));
            case RUNNING -> Optional.of(mayStillRun(job, "it runs now"));
            default -> Optional.empty();
        };
    }

    private static Refusal ran(Job job) {
        String detail = "the effect of job %s ran: settle it as run".formatted(job.id());
        return new Refusal(RefusalReason.BAD_REQUEST, Ran.YES, detail, Optional.empty());
    }

    private static Refusal mayStillRun(Job job, String why) {
        String detail =
                "the effect of job %s may still run (%s): settle it later, or as run or given up"
                        .formatted(job.id(), why);
        return new Refusal(
                RefusalReason.KEY_IN_PROGRESS, Ran.UNKNOWN, detail, Optional.of(RETRY_AFTER));
    }
}
