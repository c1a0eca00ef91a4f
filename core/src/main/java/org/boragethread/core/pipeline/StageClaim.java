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
import org.boragethread.model.outcome.Ran;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;

/**
 * The claim of one stage with an effect, from its first append to its end. Guarded by the run that
 * owns it.
 */
final class StageClaim {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final ClaimService mClaims;
    private final ClaimRequest mEffect;
    private final Listener mListener;
    private Optional<ClaimRef> mClaim = Optional.empty();
    private State mState = State.NONE;

    StageClaim(ClaimService claims, ClaimRequest effect, Listener listener) {
        mClaims = claims;
        mEffect = effect;
        mListener = listener;
    }

    /**
     * Claims the stage for the agent of a connection, or hands the claim over to it. The listener
     * is told what came of it.
     */
    void acquire(UpstreamLink link, Duration remaining) {
        ClaimTarget target = new ClaimTarget(link.upstream(), link.incarnation());
        Optional<ClaimRef> held = mClaim;
        mState = State.ASKING;
        if (held.isEmpty()) {
            mClaims.claim(mEffect, target, remaining)
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

    /** Tells whether a claim or a handover has been asked for and is not yet decided. */
    boolean isAsking() {
        return mState == State.ASKING;
    }

    /** States that the claim is held and its call has not been sent. */
    void held(ClaimRef claim) {
        mClaim = Optional.of(claim);
        mState = State.HELD;
    }

    /** States that this run does not hold the claim, or no longer. */
    void lost() {
        mClaim = Optional.empty();
        mState = State.NONE;
    }

    /** Returns the claim and states that the call is sent now. */
    Optional<ClaimRef> send() {
        mState = State.SENT;
        return mClaim;
    }

    /** States what an attempt without a whole answer says about the effect. */
    void refused(Ran ran) {
        if (mState == State.SENT && ran == Ran.NO) {
            mState = State.NOT_RUN;
        }
    }

    /** Records the whole answer. Does not wait for the log. */
    void done(ClaimOutcome outcome) {
        if (mState == State.SENT) {
            mClaims.outcome(mClaim.get(), outcome);
            lost();
        }
    }

    /** Ends a claim that has no answer: releases it if the call has not run for certain. */
    void close() {
        switch (mState) {
            case HELD -> mClaims.release(mClaim.get(), ReleaseProof.HOLDER_NEVER_SENT);
            case NOT_RUN -> mClaims.release(mClaim.get(), ReleaseProof.AGENT_NOT_RUN);
            case SENT -> mClaims.unresolved(mClaim.get());
            default -> {
                return;
            }
        }
        lost();
    }

    /** Is told the decisions on a claim; called without locks held. */
    interface Listener {

        /** Takes the decision on a claim or a handover to the agent of a connection. */
        void onDecision(
                StageClaim claim, UpstreamLink link, Either<Refusal, ClaimDecision> decision);
    }

    private enum State {
        /** Nothing is held. */
        NONE,
        /** A claim or a handover is on its way. */
        ASKING,
        /** The claim is held and its call has not been sent. */
        HELD,
        /** The call was sent and its fate is not known. */
        SENT,
        /** The agent has proved that the call did not run. */
        NOT_RUN
    }
}
