package org.boragethread.core.claim;

import java.time.Duration;
import java.util.Objects;

/** Immutable settings of claims. All entries must use the same partitions and retention. */
public final class ClaimSettings {

    private final int mPartitions;
    private final Duration mRetention;
    private final Duration mAppendTimeout;
    private final Duration mInquiryDelay;
    private final Duration mFenceAfter;
    private final int mMaxOutcomeBytes;
    private final int mMaxKeys;
    private final int mMaxUnsaved;
    private final int mCacheBytes;

    private ClaimSettings(Builder builder) {
        mPartitions = builder.mPartitions;
        mRetention = Objects.requireNonNull(builder.mRetention, "retention");
        mAppendTimeout = Objects.requireNonNull(builder.mAppendTimeout, "appendTimeout");
        mInquiryDelay = Objects.requireNonNull(builder.mInquiryDelay, "inquiryDelay");
        mFenceAfter = Objects.requireNonNull(builder.mFenceAfter, "fenceAfter");
        mMaxOutcomeBytes = builder.mMaxOutcomeBytes;
        mMaxKeys = builder.mMaxKeys;
        mMaxUnsaved = builder.mMaxUnsaved;
        mCacheBytes = builder.mCacheBytes;
        if (mPartitions < 1) {
            throw new IllegalArgumentException(
                    "claims: partitions %d must be at least 1".formatted(mPartitions));
        }
    }

    /** Returns a builder with the default values. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the name of a partition's stream. */
    public static String streamName(int partition) {
        return "claims-" + partition;
    }

    /** Returns the number of claim streams. */
    public int partitions() {
        return mPartitions;
    }

    /** Returns how long a claim holds its key; at most half the retention time of the log. */
    public Duration retention() {
        return mRetention;
    }

    /** Returns how long to wait for an appended record to be read back. */
    public Duration appendTimeout() {
        return mAppendTimeout;
    }

    /** Returns the delay between losing a claim and first querying the agent of its holder. */
    public Duration inquiryDelay() {
        return mInquiryDelay;
    }

    /** Returns the age from which queries about an open claim ask the agent to fence it. */
    public Duration fenceAfter() {
        return mFenceAfter;
    }

    /** Returns the size above which an outcome's body is not kept, in bytes. */
    public int maxOutcomeBytes() {
        return mMaxOutcomeBytes;
    }

    /** Returns the number of tracked keys at which this entry stops making new claims. */
    public int maxKeys() {
        return mMaxKeys;
    }

    /** Returns the maximum number of outcomes and releases waiting to be written to the log. */
    public int maxUnsaved() {
        return mMaxUnsaved;
    }

    /** Returns the size of the cache of recent outcomes, in bytes. */
    public int cacheBytes() {
        return mCacheBytes;
    }

    /** Builds settings. */
    public static final class Builder {

        private int mPartitions = 8;
        private Duration mRetention = Duration.ofHours(12);
        private Duration mAppendTimeout = Duration.ofSeconds(2);
        private Duration mInquiryDelay = Duration.ofMillis(500);
        private Duration mFenceAfter = Duration.ofSeconds(10);
        private int mMaxOutcomeBytes = 64 * 1024;
        private int mMaxKeys = 200_000;
        private int mMaxUnsaved = 10_000;
        private int mCacheBytes = 4 * 1024 * 1024;

        private Builder() {}

        /** Sets the number of claim streams. */
        public Builder partitions(int partitions) {
            mPartitions = partitions;
            return this;
        }

        /** Sets how long a claim holds its key. */
        public Builder retention(Duration retention) {
            mRetention = retention;
            return this;
        }

        /** Sets how long to wait for an appended record to be read back. */
        public Builder appendTimeout(Duration timeout) {
            mAppendTimeout = timeout;
            return this;
        }

        /** Sets the delay before the agent of a claim's holder is queried. */
        public Builder inquiryDelay(Duration delay) {
            mInquiryDelay = delay;
            return this;
        }

        /** Sets the age from which queries about an open claim ask the agent to fence it. */
        public Builder fenceAfter(Duration age) {
            mFenceAfter = age;
            return this;
        }

        /** Sets the size above which an outcome's body is not kept, in bytes. */
        public Builder maxOutcomeBytes(int bytes) {
            mMaxOutcomeBytes = bytes;
            return this;
        }

        /** Sets the number of tracked keys at which this entry stops making new claims. */
        public Builder maxKeys(int keys) {
            mMaxKeys = keys;
            return this;
        }

        /** Sets the maximum number of records waiting to be written to the log. */
        public Builder maxUnsaved(int records) {
            mMaxUnsaved = records;
            return this;
        }

        /** Sets the size of the cache of recent outcomes, in bytes. */
        public Builder cacheBytes(int bytes) {
            mCacheBytes = bytes;
            return this;
        }

        /** Builds the settings. */
        public ClaimSettings build() {
            return new ClaimSettings(this);
        }
    }
}
