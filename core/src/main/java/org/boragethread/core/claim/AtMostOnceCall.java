package org.boragethread.core.claim;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.model.claim.ClaimOutcome;
import org.boragethread.model.claim.ClaimRef;
import org.boragethread.model.claim.ClaimTarget;
import org.boragethread.model.outcome.ExecutionStatus;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;

/**
 * Runs one non-idempotent call, from its claim to its result. It fulfils the obligations of a claim
 * holder that {@link ClaimService} describes: at any time at most one agent may receive the call.
 */
public final class AtMostOnceCall {

    private static final Logger LOGGER = LogManager.getLogger(AtMostOnceCall.class);

    private final ClaimService mService;
    private final ClaimRequest mRequest;
    private final ClaimedCallSender mSender;
    private final long mDeadlineNanos;
    private final Set<ClaimTarget> mRefused = new HashSet<>();
    private final CompletableFuture<Either<Refusal, AtMostOnceResult>> mAnswer =
            new CompletableFuture<>();

    private AtMostOnceCall(
            ClaimService service,
            ClaimRequest request,
            ClaimedCallSender sender,
            Duration remaining) {
        mService = service;
        mRequest = request;
        mSender = sender;
        mDeadlineNanos = service.time().nanoTime() + remaining.toNanos();
    }

    /**
     * Runs a call at most once per idempotency key.
     *
     * @param remaining time until the caller's deadline
     * @return the result of this call or of an earlier call with the same key, or a refusal that
     *     states correctly whether the call ran; never completes exceptionally
     */
    public static CompletableFuture<Either<Refusal, AtMostOnceResult>> run(
            ClaimService service,
            ClaimRequest request,
            ClaimedCallSender sender,
            Duration remaining) {
        AtMostOnceCall call = new AtMostOnceCall(service, request, sender, remaining);
        call.claim(
                Refusal.notRun(
                        RefusalReason.NO_UPSTREAM, "no agent is available for the claimed call"));
        return call.mAnswer;
    }

    private Duration remaining() {
        return Duration.ofNanos(mDeadlineNanos - mService.time().nanoTime());
    }

    private boolean isDeadlinePassed() {
        return remaining().isNegative() || remaining().isZero();
    }

    // Must not be called while an append or a send of this call is in flight.
    private void claim(Refusal refusalWithoutTarget) {
        Optional<ClaimTarget> target =
                isDeadlinePassed() ? Optional.empty() : mSender.chooseTarget(refused());
        if (target.isEmpty()) {
            refuse(refusalWithoutTarget);
            return;
        }
        mService.claim(mRequest, target.get(), remaining())
                .thenAccept(decision -> onDecision(target.get(), decision));
    }

    private synchronized Set<ClaimTarget> refused() {
        return Set.copyOf(mRefused);
    }

    private synchronized void addRefused(ClaimTarget target) {
        mRefused.add(target);
    }

    private void onDecision(ClaimTarget target, Either<Refusal, ClaimDecision> decision) {
        if (decision.isLeft()) {
            refuse(decision.getLeft());
        } else if (decision.get() instanceof ClaimDecision.Replay replay) {
            complete(replay.outcome(), true);
        } else {
            send(((ClaimDecision.Run) decision.get()).ref(), target);
        }
    }

    private void send(ClaimRef ref, ClaimTarget target) {
        if (isDeadlinePassed()) {
            mService.release(ref, ReleaseProof.HOLDER_NEVER_SENT);
            refuse(
                    Refusal.notRun(
                            RefusalReason.DEADLINE_EXCEEDED,
                            "the deadline passed before the claimed call was sent"));
            return;
        }
        CompletableFuture<ClaimedCallReply> reply;
        try {
            reply = mSender.send(target, ref);
        } catch (RuntimeException e) {
            reply = CompletableFuture.failedFuture(e);
        }
        reply.exceptionally(this::onSendFailure).thenAccept(r -> onReply(ref, target, r));
    }

    private ClaimedCallReply onSendFailure(Throwable error) {
        LOGGER.error("failed to send the call of request {}", mRequest.request(), error);
        return new ClaimedCallReply.Lost(
                Refusal.unknown(RefusalReason.INTERNAL, "internal error while sending the call"));
    }

    private void onReply(ClaimRef ref, ClaimTarget target, ClaimedCallReply reply) {
        if (reply instanceof ClaimedCallReply.Answered answered) {
            mService.outcome(ref, answered.outcome());
            complete(answered.outcome(), false);
        } else if (reply instanceof ClaimedCallReply.NotRun notRun) {
            addRefused(target);
            handOver(ref, notRun.refusal().withRan(ExecutionStatus.NO));
        } else if (reply instanceof ClaimedCallReply.Lost lost) {
            resolve(ref, lost.refusal());
        } else {
            mService.release(ref, ReleaseProof.AGENT_NOT_RUN);
            claim(
                    Refusal.notRun(
                            RefusalReason.KEY_IN_PROGRESS,
                            "another request with the same key has fenced this claim"));
        }
    }

    private void handOver(ClaimRef ref, Refusal refusal) {
        Optional<ClaimTarget> next =
                isDeadlinePassed() ? Optional.empty() : mSender.chooseTarget(refused());
        if (next.isEmpty()) {
            mService.release(ref, ReleaseProof.AGENT_NOT_RUN);
            refuse(refusal);
            return;
        }
        mService.handover(ref, next.get(), remaining())
                .thenAccept(
                        isInForce -> {
                            if (isInForce) {
                                send(ref, next.get());
                            } else {
                                refuse(refusal);
                            }
                        });
    }

    // After this method the call must not be sent again under this claim.
    private void resolve(ClaimRef ref, Refusal lost) {
        if (mService.table().findOpen(ref).isEmpty()) {
            claim(lost.withRan(ExecutionStatus.UNKNOWN));
            return;
        }
        mService.resolve(ref).thenAccept(answer -> onResolved(ref, lost, answer));
    }

    private void onResolved(ClaimRef ref, Refusal lost, Optional<ClaimAnswer> answer) {
        Optional<ClaimOutcome> outcome = answer.flatMap(ClaimAnswer::outcome);
        if (outcome.isPresent()) {
            complete(outcome.get(), false);
        } else if (answer.filter(ClaimAnswer::provesNotRun).isPresent()) {
            claim(lost.withRan(ExecutionStatus.NO));
        } else if (answer.filter(a -> a.state() == ClaimAnswer.State.UNKNOWN).isPresent()) {
            refuse(lost.withRan(ExecutionStatus.UNKNOWN));
        } else {
            scheduleResolve(ref, lost);
        }
    }

    // Called while the call is still running or its agent cannot be reached.
    private void scheduleResolve(ClaimRef ref, Refusal lost) {
        Duration delay = mService.settings().inquiryDelay();
        if (remaining().compareTo(delay) <= 0) {
            refuse(lost.withRan(ExecutionStatus.UNKNOWN));
            return;
        }
        mService.scheduler().schedule(delay, () -> resolve(ref, lost));
    }

    private void complete(ClaimOutcome outcome, boolean isReplayed) {
        mAnswer.complete(Either.right(new AtMostOnceResult(outcome, isReplayed)));
    }

    private void refuse(Refusal refusal) {
        mAnswer.complete(Either.left(refusal));
    }
}
