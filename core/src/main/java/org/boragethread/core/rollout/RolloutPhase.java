package org.boragethread.core.rollout;

/** Phase of an order. The public state is {@code running} in the first two. */
public enum RolloutPhase {
    /** A share of the requests goes to the target version. */
    TRIAL,
    /** All requests go to the target version; those at the old one still end. */
    SWITCHING,
    /** The old version is out of use. */
    COMPLETED,
    /** The target version is out of use. */
    ROLLED_BACK;

    /** Returns whether this phase is never followed by another one of the same order. */
    public boolean isEnded() {
        return this == COMPLETED || this == ROLLED_BACK;
    }
}
