package org.boragethread.core.claim;

import org.boragethread.model.claim.ClaimOutcome;
import org.boragethread.model.outcome.Refusal;

/** How one sending of a claimed call ended. */
public sealed interface ClaimedCallReply {

    /**
     * The whole answer arrived.
     *
     * @param outcome the answer
     */
    record Answered(ClaimOutcome outcome) implements ClaimedCallReply {}

    /**
     * The call was not sent, or the agent proved that its upstream did not receive it. It must not
     * be on its way any more.
     *
     * @param refusal why, for the caller
     */
    record NotRun(Refusal refusal) implements ClaimedCallReply {}

    /** The agent refused the call because another process has had the claim fenced. */
    record Fenced() implements ClaimedCallReply {}

    /**
     * No whole answer arrived, or the agent has seen the claim before.
     *
     * @param refusal what happened, for the caller
     */
    record Lost(Refusal refusal) implements ClaimedCallReply {}
}
