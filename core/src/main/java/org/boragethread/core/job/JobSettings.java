package org.boragethread.core.job;

import java.time.Duration;
import java.util.Objects;

/** Immutable settings of jobs. All entries must agree on the log's retention. */
public final class JobSettings {

    /** Name of the job stream. */
    public static final String STREAM = "jobs";

    /** Greatest payload of one record, in bytes. */
    public static final int MAX_PAYLOAD_BYTES = 200 * 1024;

    private static final int CHECKPOINT_SHARE = 4;
    private static final int ENDED_SHARE = 4;
    private static final int REPEAT_SHARE = 3;
    private static final int LATE_SHARE = 12;

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
        if (mLateLimit.multipliedBy(LATE_SHARE).compareTo(mLogRetention) > 0) {
            throw new IllegalArgumentException(
                    "jobs: lateLimit %s must be at most a twelfth of logRetention %s"
                            .formatted(mLateLimit, mLogRetention));
        }
    }

    /** Starts with the default values. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the age from which an unfinished job is repeated in the log. */
    public Duration checkpointAge() {
        return mLogRetention.dividedBy(CHECKPOINT_SHARE);
    }

    /** Returns how long an ended job and its result can be read. */
    public Duration endedRetention() {
        return mLogRetention.dividedBy(ENDED_SHARE);
    }

    /**
     * Returns how long a fold that starts after the stream's beginning does not trust new jobs. It
     * does not take checkpoints for the late limit, all unfinished jobs are repeated within the
     * next third of the retention, and ended ones hold their keys for a quarter. What is accepted
     * meanwhile is repeated before the retention is over.
     */
    public Duration warmUp() {
        return mLateLimit.plus(mLogRetention.dividedBy(REPEAT_SHARE)).plus(endedRetention());
    }

    /** Returns the greatest age of a submission or checkpoint at which it still counts. */
    public Duration lateLimit() {
        return mLateLimit;
    }

    /** Returns the length of a lease. */
    public Duration lease() {
        return mLease;
    }

    /** Returns the time between two looks at the free jobs. */
    public Duration tick() {
        return mTick;
    }

    /** Returns the head start of each entry before the next one in a job's order of entries. */
    public Duration spread() {
        return mSpread;
    }

    /** Returns the longest wait for a record to be read back. */
    public Duration appendTimeout() {
        return mAppendTimeout;
    }

    /**
     * Returns the age of a begun effect from which it is held as unknown instead of being claimed
     * again; below the retention of claims.
     */
    public Duration effectMaxAge() {
        return mEffectMaxAge;
    }

    /** Returns the greatest number of jobs that this entry runs at a time. */
    public int maxRunning() {
        return mMaxRunning;
    }

    /** Returns the number of unfinished jobs from which new ones are refused. */
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

        /** Sets how long the platform's log keeps records. */
        public Builder logRetention(Duration retention) {
            mLogRetention = retention;
            return this;
        }

        /** Sets the greatest age at which a submission or checkpoint still counts. */
        public Builder lateLimit(Duration limit) {
            mLateLimit = limit;
            return this;
        }

        /** Sets the length of a lease. */
        public Builder lease(Duration lease) {
            mLease = lease;
            return this;
        }

        /** Sets the time between two looks at the free jobs. */
        public Builder tick(Duration tick) {
            mTick = tick;
            return this;
        }

        /** Sets the head start of each entry before the next one. */
        public Builder spread(Duration spread) {
            mSpread = spread;
            return this;
        }

        /** Sets the longest wait for a record to be read back. */
        public Builder appendTimeout(Duration timeout) {
            mAppendTimeout = timeout;
            return this;
        }

        /** Sets the age of a begun effect from which it is held as unknown. */
        public Builder effectMaxAge(Duration age) {
            mEffectMaxAge = age;
            return this;
        }

        /** Sets the greatest number of jobs that this entry runs at a time. */
        public Builder maxRunning(int jobs) {
            mMaxRunning = jobs;
            return this;
        }

        /** Sets the number of unfinished jobs from which new ones are refused. */
        public Builder maxUnfinished(int jobs) {
            mMaxUnfinished = jobs;
            return this;
        }

        /** Returns the settings. */
        public JobSettings build() {
            return new JobSettings(this);
        }
    }
}
