package org.boragethread.core.pipeline;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.claim.ClaimDecision;
import org.boragethread.core.claim.ClaimRequest;
import org.boragethread.core.claim.ClaimService;
import org.boragethread.core.claim.ReleaseProof;
import org.boragethread.core.dispatch.UpstreamLink;
import org.boragethread.model.claim.ClaimOutcome;
import org.boragethread.model.claim.ClaimRef;
import org.boragethread.model.claim.ClaimTarget;
import org.boragethread.model.outcome.ExecutionStatus;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;

/**
 * The claim for one non-idempotent stage, from the first append to the log until it is resolved.
 * Guarded by the monitor of the run that owns it.
 */
final class StageClaim {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final ClaimService mClaims;
    private final ClaimRequest mRequest;
    private final Listener mListener;
    private Optional<ClaimRef> mClaim = Optional.empty();
    private State mState = State.NONE;

    StageClaim(ClaimService claims, ClaimRequest request, Listener listener) {
        mClaims = claims;
        mRequest = request;
        mListener = listener;
    }

    /**
     * Claims the stage for the agent of a connection, or hands over a claim already held to that
     * agent. The listener is called with the decision.
     */
    void acquire(UpstreamLink link, Duration remaining) {
        ClaimTarget target = new ClaimTarget(link.upstream(), link.incarnation());
        Optional<ClaimRef> held = mClaim;
        mState = State.PENDING;
        if (held.isEmpty()) {
            mClaims.claim(mRequest, target, remaining)
                    .thenAccept(decision -> mListener.onDecision(this, link, decision));
        } else {
            mClaims.handover(held.get(), target, remaining)
                    .thenAccept(
                            done -> mListener.onDecision(this, link, afterHandover(held, done)));
        }
    }

    private static Either<Refusal, ClaimDecision> afterHandover(
            Optional<ClaimRef> held, boolean done) {
        if (done) {
            return Either.right(new ClaimDecision.Run(held.get()));
        }
        return Either.left(
                Refusal.notRun(
                        RefusalReason.LOG_UNAVAILABLE,
                        "the claim could not be handed to another agent",
                        RETRY_AFTER));
    }

    /** Returns whether a claim or a handover has been requested and is not yet decided. */
    boolean isPending() {
        return mState == State.PENDING;
    }

    /** Marks the claim as held, with its call not yet sent. */
    void markHeld(ClaimRef claim) {
        mClaim = Optional.of(claim);
        mState = State.HELD;
    }

    /** Marks the claim as not, or no longer, held by this run. */
    void markNotHeld() {
        mClaim = Optional.empty();
        mState = State.NONE;
    }

    /** Marks the call as sent and returns the claim to send with it. */
    Optional<ClaimRef> markSent() {
        mState = State.SENT;
        return mClaim;
    }

    /** Handles an attempt without a complete response, given whether the stage has run. */
    void onAttemptRefused(ExecutionStatus ran) {
        if (mState == State.SENT && ran == ExecutionStatus.NO) {
            mState = State.NOT_RUN;
        }
    }

    /** Records the complete response, without waiting for the log. */
    void recordResponse(ClaimOutcome outcome) {
        if (mState == State.SENT) {
            mClaims.outcome(mClaim.get(), outcome);
            markNotHeld();
        }
    }

    /** Ends a claim without a response: releases it if it is certain that the call has not run. */
    void close() {
        switch (mState) {
            case HELD -> mClaims.release(mClaim.get(), ReleaseProof.HOLDER_NEVER_SENT);
            case NOT_RUN -> mClaims.release(mClaim.get(), ReleaseProof.AGENT_NOT_RUN);
            case SENT -> mClaims.unresolved(mClaim.get());
            default -> {
                return;
            }
        }
        markNotHeld();
    }

    /** Listener for decisions on a claim; called without locks held. */
    interface Listener {

        /** Called with the decision on a claim for, or a handover to, the agent of a connection. */
        void onDecision(
                StageClaim claim, UpstreamLink link, Either<Refusal, ClaimDecision> decision);
    }

    private enum State {
        /** No claim is held. */
        NONE,
        /** A claim or a handover has been requested and is not yet decided. */
        PENDING,
        /** The claim is held and its call has not been sent. */
        HELD,
        /** The call was sent and its outcome is unknown. */
        SENT,
        /** The agent has confirmed that the call did not run. */
        NOT_RUN
    }
}
