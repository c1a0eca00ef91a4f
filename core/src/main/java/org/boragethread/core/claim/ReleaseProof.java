package org.boragethread.core.claim;

/** Why it is certain that a claimed call has not run and will not run. */
public enum ReleaseProof {
    /** The entry that holds the claim never sent the call and will not send it. */
    HOLDER_NEVER_SENT,
    /** The agent told the holder that its upstream did not receive the call. */
    AGENT_NOT_RUN,
    /** The agent had never seen the claim, or had not run it, and refuses it from now on. */
    AGENT_FENCED
}
