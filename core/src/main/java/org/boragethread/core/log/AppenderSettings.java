package org.boragethread.core.log;

import java.time.Duration;

/** Immutable settings of a {@link BatchingAppender}. */
public final class AppenderSettings {

    private final Duration mBatchDelay;
    private final int mMaxRecords;
    private final int mMaxBytes;
    private final int mMaxPending;
    private final int mMaxInFlight;
    private final Duration mMinBackoff;
    private final Duration mMaxBackoff;

    private AppenderSettings(Builder builder) {
        mBatchDelay = builder.mBatchDelay;
        mMaxRecords = builder.mMaxRecords;
        mMaxBytes = builder.mMaxBytes;
        mMaxPending = builder.mMaxPending;
        mMaxInFlight = builder.mMaxInFlight;
        mMinBackoff = builder.mMinBackoff;
        mMaxBackoff = builder.mMaxBackoff;
    }

    /** Returns how long the first record of a batch waits for others. */
    public Duration batchDelay() {
        return mBatchDelay;
    }

    /** Returns the maximum number of records in one append. */
    public int maxRecords() {
        return mMaxRecords;
    }

    /**
     * Returns the maximum size of one append, in bytes of record data. A single larger record is
     * still sent alone.
     */
    public int maxBytes() {
        return mMaxBytes;
    }

    /** Returns the maximum number of records that have not been read back. */
    public int maxPending() {
        return mMaxPending;
    }

    /** Returns the maximum number of appends without a response. */
    public int maxInFlight() {
        return mMaxInFlight;
    }

    /** Returns the delay after the first failure. */
    public Duration minBackoff() {
        return mMinBackoff;
    }

    /** Returns the upper bound of the delay after repeated failures. */
    public Duration maxBackoff() {
        return mMaxBackoff;
    }

    /** Builds settings; every setting has a default. */
    public static final class Builder {
        private Duration mBatchDelay = Duration.ofMillis(5);
        private int mMaxRecords = 500;
        private int mMaxBytes = 1024 * 1024;
        private int mMaxPending = 10_000;
        private int mMaxInFlight = 4;
        private Duration mMinBackoff = Duration.ofMillis(100);
        private Duration mMaxBackoff = Duration.ofSeconds(1);

        /** Sets how long the first record of a batch waits for others. */
        public Builder batchDelay(Duration value) {
            mBatchDelay = value;
            return this;
        }

        /** Sets the maximum number of records in one append. */
        public Builder maxRecords(int value) {
            mMaxRecords = value;
            return this;
        }

        /**
         * Sets the maximum size of one append, in bytes of record data. A single larger record is
         * still sent alone.
         */
        public Builder maxBytes(int value) {
            mMaxBytes = value;
            return this;
        }

        /** Sets the maximum number of records that have not been read back. */
        public Builder maxPending(int value) {
            mMaxPending = value;
            return this;
        }

        /** Sets the maximum number of appends without a response. */
        public Builder maxInFlight(int value) {
            mMaxInFlight = value;
            return this;
        }

        /** Sets the bounds of the delay after failures. */
        public Builder backoff(Duration min, Duration max) {
            mMinBackoff = min;
            mMaxBackoff = max;
            return this;
        }

        /** Builds the settings. */
        public AppenderSettings build() {
            return new AppenderSettings(this);
        }
    }
}
