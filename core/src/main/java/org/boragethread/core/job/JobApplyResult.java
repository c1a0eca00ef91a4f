package org.boragethread.core.job;

import java.util.Objects;
import java.util.Optional;

/**
 * Result of applying one record.
 *
 * @param kind effect of the record
 * @param job the job after the record, or the job that holds the key
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
        /** A job with the same key and body was submitted earlier. */
        EXISTS,
        /** The key is held by a job with another body. */
        KEY_REUSED,
        /** The record is repeated, late, outdated, or written under a superseded lease. */
        IGNORED
    }
}
