package org.boragethread.core.claim;

import java.util.Objects;
import java.util.Optional;
import org.boragethread.model.claim.ClaimOutcome;

/**
 * What an agent knows of a claim.
 *
 * @param state the agent's knowledge
 * @param outcome the answer of the call, if it is done
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

    /** Returns the answer for a call that is done. */
    public static ClaimAnswer done(ClaimOutcome outcome) {
        return new ClaimAnswer(State.DONE, Optional.of(outcome));
    }

    /** Tells whether the agent proves that the call has not run. */
    public boolean provesNotRun() {
        return state == State.NEVER_SEEN || state == State.NOT_RUN;
    }

    /** An agent's knowledge of a claim. */
    public enum State {
        /** The agent cannot vouch for the claim. */
        UNKNOWN,
        /** The agent has never run the claim; if it was asked to fence, it never will. */
        NEVER_SEEN,
        /** The call is running. */
        RUNNING,
        /** The call has run. */
        DONE,
        /**
         * The upstream did not receive the call; if the agent was asked to fence, it never will.
         */
        NOT_RUN
    }
}
