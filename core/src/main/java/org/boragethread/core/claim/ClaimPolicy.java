package org.boragethread.core.claim;

/**
 * Rules of {@link ClaimStateMachine}. Tests disable them one at a time to show that the simulation
 * detects a missing rule.
 *
 * @param firstClaimWins whether a later claim loses while an earlier claim holds the key
 * @param releaseChecksHandovers whether a release is ignored if a handover has happened that its
 *     writer did not know of
 */
record ClaimPolicy(boolean firstClaimWins, boolean releaseChecksHandovers) {

    /** Enforces all rules. */
    static final ClaimPolicy STRICT = new ClaimPolicy(true, true);
}
