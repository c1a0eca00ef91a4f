package org.boragethread.core.claim;

import java.util.Objects;
import java.util.Optional;
import org.boragethread.model.claim.ClaimOutcome;

/**
 * An agent's answer to a query about a claim.
 *
 * @param state state of the claim at the agent
 * @param outcome the result of the call, if it has completed
 */
public record ClaimAnswer(State state, Optional<ClaimOutcome> outcome) {

    public ClaimAnswer {
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(outcome, "outcome");
    }

    /** Returns an answer without an outcome. */
    public static ClaimAnswer of(State state) {
        return new ClaimAnswer(state, Optional.empty());
    }

    /** Returns the answer for a completed call. */
    public static ClaimAnswer done(ClaimOutcome outcome) {
        return new ClaimAnswer(State.DONE, Optional.of(outcome));
    }

    /** Returns whether the answer proves that the call has not run. */
    public boolean provesNotRun() {
        return state == State.NEVER_SEEN || state == State.NOT_RUN;
    }

    /** State of a claim at its agent. */
    public enum State {
        /** The agent cannot tell whether the claimed call has run. */
        UNKNOWN,
        /** The agent has never run the call; if it was asked to fence the claim, it never will. */
        NEVER_SEEN,
        /** The call is running. */
        RUNNING,
        /** The call has completed. */
        DONE,
        /**
         * The upstream did not receive the call; if the agent was asked to fence the claim, it
         * never will.
         */
        NOT_RUN
    }
}
