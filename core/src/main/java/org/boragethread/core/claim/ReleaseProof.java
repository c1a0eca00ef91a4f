package org.boragethread.core.claim;

/** Evidence that a claimed call has not run and will not run. */
public enum ReleaseProof {
    /** The entry that holds the claim never sent the call and will not send it. */
    HOLDER_NEVER_SENT,
    /** The agent reported to the holder that its upstream did not receive the call. */
    AGENT_NOT_RUN,
    /** The agent had never seen the claim or had not run its call, and has fenced the claim. */
    AGENT_FENCED
}
