package org.boragethread.core.job;

/**
 * Rules of the fold that tests turn off one by one, to show that their checks notice it.
 *
 * @param checksFence whether records made under an earlier lease are void
 */
record JobPolicy(boolean checksFence) {

    /** All rules. */
    static final JobPolicy STRICT = new JobPolicy(true);
}
