package org.boragethread.core.job;

import java.util.Objects;
import java.util.Optional;

/**
 * What one record did.
 *
 * @param kind the effect of the record
 * @param job the job after the record, or the one that the key belongs to
 */
public record JobApplyResult(Kind kind, Optional<Job> job) {

    public JobApplyResult {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(job, "job");
    }

    static JobApplyResult applied(Job job) {
        return new JobApplyResult(Kind.APPLIED, Optional.of(job));
    }

    static JobApplyResult of(Kind kind, Job job) {
        return new JobApplyResult(kind, Optional.of(job));
    }

    static JobApplyResult ignored(Optional<Job> job) {
        return new JobApplyResult(Kind.IGNORED, job);
    }

    /** Tells whether the record took effect. */
    public boolean isApplied() {
        return kind == Kind.APPLIED;
    }

    /** Effect of a record. */
    public enum Kind {
        /** The record took effect. */
        APPLIED,
        /** The same job was submitted before with the same key. */
        EXISTS,
        /** The key belongs to a job with another body. */
        KEY_REUSED,
        /** The record is repeated, late, or made under a lease that is over. */
        IGNORED
    }
}
