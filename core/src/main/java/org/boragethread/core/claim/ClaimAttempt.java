package org.boragethread.core.claim;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.boragethread.core.time.Scheduler;
import org.boragethread.model.claim.ClaimTarget;
import org.boragethread.model.outcome.ExecutionStatus;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;

/**
 * One caller's attempt to claim a key. It appends a claim while the key is free, and otherwise
 * waits for the outcome of the existing claim until the caller's deadline.
 */
final class ClaimAttempt {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final ClaimService mService;
    private final ClaimRequest mRequest;
    private final KeyHash mKey;
    private final ClaimTarget mTarget;
    private final long mDeadlineNanos;
    private final CompletableFuture<Either<Refusal, ClaimDecision>> mDecision =
            new CompletableFuture<>();
    private final Runnable mOnChange = this::evaluate;
    // Set while an append is in flight, so that this attempt never has more than one.
    private final AtomicBoolean mAppending = new AtomicBoolean();
    private final AtomicBoolean mQuerying = new AtomicBoolean();
    private volatile Scheduler.Timer mQueryTimer = () -> {};

    ClaimAttempt(
            ClaimService service, ClaimRequest request, ClaimTarget target, Duration remaining) {
        mService = service;
        mRequest = request;
        mKey = request.keyHash();
        mTarget = target;
        mDeadlineNanos = service.time().nanoTime() + remaining.toNanos();
    }

    CompletableFuture<Either<Refusal, ClaimDecision>> start() {
        mService.listeners().add(mKey, mOnChange);
        Scheduler.Timer deadline = mService.scheduler().schedule(remaining(), this::onDeadline);
        mDecision.whenComplete((decision, error) -> stop(deadline));
        evaluate();
        return mDecision;
    }

    private void stop(Scheduler.Timer deadline) {
        mService.listeners().remove(mKey, mOnChange);
        deadline.cancel();
        mQueryTimer.cancel();
    }

    private Duration remaining() {
        return Duration.ofNanos(mDeadlineNanos - mService.time().nanoTime());
    }

    private void evaluate() {
        if (mDecision.isDone() || mAppending.get()) {
            return;
        }
        Optional<ClaimView> existing = mService.table().find(mKey);
        if (existing.isEmpty() || existing.get().status() == ClaimStatus.RELEASED) {
            append();
            return;
        }
        handleExistingClaim(existing.get());
    }

    private void append() {
        if (!mAppending.compareAndSet(false, true)) {
            return;
        }
        mQueryTimer.cancel();
        Duration timeout = min(remaining(), mService.settings().appendTimeout());
        if (timeout.isNegative() || timeout.isZero()) {
            refuse(logUnavailable("the deadline passed before the claim could be appended"));
            return;
        }
        if (mService.table().size() >= mService.settings().maxKeys()) {
            refuse(logUnavailable("the entry holds as many keys as it may"));
            return;
        }
        mService.append(mKey, claimRecord(), timeout).thenAccept(this::onAppended);
    }

    private ClaimRecord.Claim claimRecord() {
        return new ClaimRecord.Claim(
                mKey,
                mRequest.bodyHash(),
                mRequest.request(),
                mService.entry(),
                mRequest.stage(),
                mTarget);
    }

    private static Duration min(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    private static Refusal logUnavailable(String detail) {
        return Refusal.notRun(RefusalReason.LOG_UNAVAILABLE, detail, RETRY_AFTER);
    }

    private void onAppended(Either<Refusal, ClaimApplyResult> result) {
        if (result.isLeft()) {
            refuse(logUnavailable(result.getLeft().detail() + "; send it again with the same key"));
            return;
        }
        if (result.get() instanceof ClaimApplyResult.Won won) {
            mDecision.complete(Either.right(new ClaimDecision.Run(won.claim().ref())));
            return;
        }
        mAppending.set(false);
        if (remaining().isNegative() || remaining().isZero()) {
            onDeadline();
        } else {
            evaluate();
        }
    }

    private void handleExistingClaim(ClaimView holder) {
        if (holder.status() != ClaimStatus.UNCERTAIN && holder.bodyHash() != mRequest.bodyHash()) {
            refuse(Refusal.notRun(RefusalReason.KEY_REUSED, "the key's first body differs"));
            return;
        }
        switch (holder.status()) {
            case DONE -> replay(holder);
            case UNCERTAIN -> refuse(outcomeUnknown("the log no longer shows the key's first use"));
            case UNRESOLVED -> queryAgent(holder);
            default -> awaitOutcome(holder);
        }
    }

    private static Refusal outcomeUnknown(String detail) {
        return Refusal.unknown(RefusalReason.KEY_OUTCOME_UNKNOWN, detail);
    }

    private void replay(ClaimView claim) {
        mService.outcomes()
                .find(claim)
                .thenAccept(
                        outcome -> {
                            if (outcome.isPresent()) {
                                mDecision.complete(
                                        Either.right(
                                                new ClaimDecision.Replay(
                                                        claim.ref(), outcome.get())));
                            } else {
                                refuse(outcomeUnreadable(claim));
                            }
                        });
    }

    private static Refusal outcomeUnreadable(ClaimView claim) {
        return new Refusal(
                RefusalReason.LOG_UNAVAILABLE,
                ExecutionStatus.YES,
                "claim %s ran, but its outcome cannot be read now".formatted(claim.ref()),
                Optional.of(RETRY_AFTER));
    }

    private void awaitOutcome(ClaimView holder) {
        if (mService.outcomes().cached(holder.ref()).isPresent()) {
            replay(holder);
            return;
        }
        scheduleQuery(
                holder,
                isEntrySuspected(holder) ? Duration.ZERO : mService.settings().inquiryDelay());
    }

    private void scheduleQuery(ClaimView holder, Duration delay) {
        mQueryTimer.cancel();
        mQueryTimer = mService.scheduler().schedule(delay, () -> queryIfStillOpen(holder));
    }

    private void queryIfStillOpen(ClaimView holder) {
        if (mDecision.isDone()) {
            return;
        }
        Optional<ClaimView> now = mService.table().find(mKey);
        if (now.filter(claim -> claim.ref().equals(holder.ref()) && isOpen(claim)).isPresent()) {
            queryAgent(now.get());
        } else {
            evaluate();
        }
    }

    private void onDeadline() {
        if (mDecision.isDone() || mAppending.get()) {
            return;
        }
        refuse(
                new Refusal(
                        RefusalReason.KEY_IN_PROGRESS,
                        ExecutionStatus.UNKNOWN,
                        "an earlier claim for the key has no outcome yet",
                        Optional.of(RETRY_AFTER)));
    }

    private boolean isEntrySuspected(ClaimView holder) {
        return holder.assignment()
                .filter(assignment -> mService.liveness().isSuspected(assignment.entry()))
                .isPresent();
    }

    private void queryAgent(ClaimView holder) {
        if (mDecision.isDone() || !mQuerying.compareAndSet(false, true)) {
            return;
        }
        mService.recovery()
                .recover(holder, shouldFence(holder))
                .thenAccept(
                        answer -> {
                            mQuerying.set(false);
                            onAgentAnswer(holder, answer);
                        });
    }

    private boolean shouldFence(ClaimView holder) {
        boolean isOwnClaim =
                holder.assignment()
                        .filter(assignment -> assignment.entry().equals(mService.entry()))
                        .isPresent();
        if (isOwnClaim) {
            return false;
        }
        long ageMillis = mService.time().millis() - holder.timeMillis();
        return isEntrySuspected(holder) || ageMillis >= mService.settings().fenceAfter().toMillis();
    }

    private void onAgentAnswer(ClaimView holder, Optional<ClaimAnswer> answer) {
        if (mDecision.isDone()) {
            return;
        }
        boolean isUnknown = answer.filter(a -> a.state() == ClaimAnswer.State.UNKNOWN).isPresent();
        boolean isUnresolved = holder.status() == ClaimStatus.UNRESOLVED;
        if (answer.flatMap(ClaimAnswer::outcome).isPresent()) {
            mDecision.complete(
                    Either.right(
                            new ClaimDecision.Replay(holder.ref(), answer.get().outcome().get())));
        } else if (isUnknown || (isUnresolved && answer.isEmpty())) {
            refuse(outcomeUnknown("agent of claim %s cannot vouch for it".formatted(holder.ref())));
        } else {
            scheduleQuery(holder, mService.settings().inquiryDelay());
        }
    }

    private static boolean isOpen(ClaimView claim) {
        return claim.status() == ClaimStatus.OPEN || claim.status() == ClaimStatus.UNRESOLVED;
    }

    private void refuse(Refusal refusal) {
        mDecision.complete(Either.left(refusal));
    }
}
