package org.boragethread.core.claim;

/**
 * Rules of the fold that tests turn off one by one, to show that their checks notice it.
 *
 * @param firstClaimHolds whether a later claim loses while an earlier one holds
 * @param releaseNamesHandover whether a release is void after a handover that it does not know of
 */
record ClaimPolicy(boolean firstClaimWins, boolean releaseChecksHandovers) {

    /** All rules. */
    static final ClaimPolicy STRICT = new ClaimPolicy(true, true);
}
