package org.boragethread.core.claim;

import org.boragethread.model.claim.ClaimOutcome;
import org.boragethread.model.outcome.Refusal;

/** Result of sending a claimed call once. */
public sealed interface ClaimedCallReply {

    /**
     * The complete response arrived.
     *
     * @param outcome the response
     */
    record Answered(ClaimOutcome outcome) implements ClaimedCallReply {}

    /**
     * The call was not sent, or the agent proved that its upstream did not receive it. The call
     * must no longer be in flight.
     *
     * @param refusal the reason, reported to the caller
     */
    record NotRun(Refusal refusal) implements ClaimedCallReply {}

    /** The agent rejected the call because another process has fenced the claim. */
    record Fenced() implements ClaimedCallReply {}

    /**
     * No complete response arrived, or the agent has already begun the call.
     *
     * @param refusal the failure, reported to the caller
     */
    record Lost(Refusal refusal) implements ClaimedCallReply {}
}
