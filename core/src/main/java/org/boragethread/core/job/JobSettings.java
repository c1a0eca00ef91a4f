package org.boragethread.core.job;

import java.time.Duration;
import java.util.Objects;

/** Immutable settings of jobs. All entries must use the same log retention. */
public final class JobSettings {

    /** Name of the job stream. */
    public static final String STREAM = "jobs";

    /** Maximum payload of one record, in bytes. */
    public static final int MAX_PAYLOAD_BYTES = 200 * 1024;

    private static final int CHECKPOINT_AGE_DIVISOR = 4;
    private static final int ENDED_RETENTION_DIVISOR = 4;
    private static final int CHECKPOINT_PERIOD_DIVISOR = 3;
    private static final int LATE_LIMIT_DIVISOR = 12;

    private final Duration mLogRetention;
    private final Duration mLateLimit;
    private final Duration mLease;
    private final Duration mTick;
    private final Duration mSpread;
    private final Duration mAppendTimeout;
    private final Duration mEffectMaxAge;
    private final int mMaxRunning;
    private final int mMaxUnfinished;

    private JobSettings(Builder builder) {
        mLogRetention = Objects.requireNonNull(builder.mLogRetention, "logRetention");
        mLateLimit = Objects.requireNonNull(builder.mLateLimit, "lateLimit");
        mLease = Objects.requireNonNull(builder.mLease, "lease");
        mTick = Objects.requireNonNull(builder.mTick, "tick");
        mSpread = Objects.requireNonNull(builder.mSpread, "spread");
        mAppendTimeout = Objects.requireNonNull(builder.mAppendTimeout, "appendTimeout");
        mEffectMaxAge = Objects.requireNonNull(builder.mEffectMaxAge, "effectMaxAge");
        mMaxRunning = builder.mMaxRunning;
        mMaxUnfinished = builder.mMaxUnfinished;
        if (mLateLimit.multipliedBy(LATE_LIMIT_DIVISOR).compareTo(mLogRetention) > 0) {
            throw new IllegalArgumentException(
                    "jobs: lateLimit %s must be at most a twelfth of logRetention %s"
                            .formatted(mLateLimit, mLogRetention));
        }
    }

    /** Returns a builder with the default values. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the age from which an unfinished job is checkpointed again. */
    public Duration checkpointAge() {
        return mLogRetention.dividedBy(CHECKPOINT_AGE_DIVISOR);
    }

    /** Returns how long an ended job and its result stay readable. */
    public Duration endedRetention() {
        return mLogRetention.dividedBy(ENDED_RETENTION_DIVISOR);
    }

    /**
     * Returns how long a state machine that starts after the beginning of the stream cannot decide
     * who holds a key. It ignores checkpoints of unknown jobs for the late limit, all unfinished
     * jobs are checkpointed within the next third of the retention, and ended jobs hold their keys
     * for a quarter of it. Jobs accepted in the meantime are checkpointed before the retention is
     * over.
     */
    public Duration warmUp() {
        return mLateLimit
                .plus(mLogRetention.dividedBy(CHECKPOINT_PERIOD_DIVISOR))
                .plus(endedRetention());
    }

    /** Returns the age from which a submission or checkpoint that reaches the log is ignored. */
    public Duration lateLimit() {
        return mLateLimit;
    }

    /** Returns the duration of a lease. */
    public Duration lease() {
        return mLease;
    }

    /** Returns the interval between searches for available jobs. */
    public Duration tick() {
        return mTick;
    }

    /** Returns the delay per rank before an entry tries to acquire a job. */
    public Duration spread() {
        return mSpread;
    }

    /** Returns how long to wait for an appended record to be read back. */
    public Duration appendTimeout() {
        return mAppendTimeout;
    }

    /**
     * Returns the age of a started effect from which the job is held instead of claiming the effect
     * again; below the retention of claims.
     */
    public Duration effectMaxAge() {
        return mEffectMaxAge;
    }

    /** Returns the maximum number of jobs that this entry runs concurrently. */
    public int maxRunning() {
        return mMaxRunning;
    }

    /** Returns the number of unfinished jobs at which new submissions are refused. */
    public int maxUnfinished() {
        return mMaxUnfinished;
    }

    /** Builds settings. */
    public static final class Builder {

        private Duration mLogRetention = Duration.ofHours(24);
        private Duration mLateLimit = Duration.ofMinutes(10);
        private Duration mLease = Duration.ofSeconds(15);
        private Duration mTick = Duration.ofMillis(250);
        private Duration mSpread = Duration.ofMillis(250);
        private Duration mAppendTimeout = Duration.ofSeconds(2);
        private Duration mEffectMaxAge = Duration.ofHours(6);
        private int mMaxRunning = 4;
        private int mMaxUnfinished = 20_000;

        private Builder() {}

        /** Sets how long the platform's log retains records. */
        public Builder logRetention(Duration retention) {
            mLogRetention = retention;
            return this;
        }

        /** Sets the age from which a submission or checkpoint that reaches the log is ignored. */
        public Builder lateLimit(Duration limit) {
            mLateLimit = limit;
            return this;
        }

        /** Sets the duration of a lease. */
        public Builder lease(Duration lease) {
            mLease = lease;
            return this;
        }

        /** Sets the interval between searches for available jobs. */
        public Builder tick(Duration tick) {
            mTick = tick;
            return this;
        }

        /** Sets the delay per rank before an entry tries to acquire a job. */
        public Builder spread(Duration spread) {
            mSpread = spread;
            return this;
        }

        /** Sets how long to wait for an appended record to be read back. */
        public Builder appendTimeout(Duration timeout) {
            mAppendTimeout = timeout;
            return this;
        }

        /** Sets the age of a started effect from which its job is held. */
        public Builder effectMaxAge(Duration age) {
            mEffectMaxAge = age;
            return this;
        }

        /** Sets the maximum number of jobs that this entry runs concurrently. */
        public Builder maxRunning(int jobs) {
            mMaxRunning = jobs;
            return this;
        }

        /** Sets the number of unfinished jobs at which new submissions are refused. */
        public Builder maxUnfinished(int jobs) {
            mMaxUnfinished = jobs;
            return this;
        }

        /** Builds the settings. */
        public JobSettings build() {
            return new JobSettings(this);
        }
    }
}
