package org.boragethread.core.job;

/**
 * Rules of {@link JobStateMachine}. Tests disable them one at a time to show that the simulation
 * detects a missing rule.
 *
 * @param checksFence whether records written under a superseded lease are ignored
 */
record JobPolicy(boolean checksFence) {

    /** Enforces all rules. */
    static final JobPolicy STRICT = new JobPolicy(true);
}
