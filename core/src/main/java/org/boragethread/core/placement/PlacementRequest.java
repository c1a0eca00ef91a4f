package org.boragethread.core.placement;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.model.upstream.UpstreamId;

/**
 * A request for which an engine is wanted. Times are monotonic times of the coordinator in
 * nanoseconds; messages carry the time left.
 *
 * @param key identity of entry, request and attempt
 * @param prefixHash hash of the prompt prefix that the request shares with others; 0 if there is
 *     none
 * @param prefixTokens length of that prefix in tokens
 * @param promptTokens length of the whole prompt in tokens, prefix included
 * @param maxOutputTokens maximum number of tokens that are generated; 0 if it is not known
 * @param priority 0 is the most urgent
 * @param team team on whose behalf the request runs; empty if it is not known
 * @param targetNanos time by which the first event should come for the request to have its value
 * @param deadlineNanos time by which the first event must come: the earlier of the request's
 *     deadline and the time at which its caller gives up
 * @param expiryNanos time by which the request has certainly ended; a later report is not awaited
 * @param inputDataCentre data centre that stores the results of its stages, if there are any
 * @param remoteMillis cost of an engine in another data centre than {@code inputDataCentre}
 * @param unusable engines that the entry may not use now: excluded, paused, or cold without a share
 * @param requiredVersion version at which a stream must go on; empty for any
 * @param forbiddenVersions versions that the request must not reach
 */
public record PlacementRequest(
        PlacementKey key,
        long prefixHash,
        long prefixTokens,
        long promptTokens,
        long maxOutputTokens,
        int priority,
        String team,
        long targetNanos,
        long deadlineNanos,
        long expiryNanos,
        Optional<DataCentreId> inputDataCentre,
        double remoteMillis,
        Set<UpstreamId> unusable,
        Optional<SoftwareVersion> requiredVersion,
        Set<SoftwareVersion> forbiddenVersions) {

    /** More than any engine holds, and so small that the sum of all requests cannot overflow. */
    private static final long MAX_TOKENS = 1L << 40;

    /**
     * Creates a request.
     *
     * @throws IllegalArgumentException if a number is out of range
     */
    public PlacementRequest {
        if (prefixTokens < 0 || promptTokens < prefixTokens || maxOutputTokens < 0) {
            throw new IllegalArgumentException(
                    "tokens %d, %d, %d are out of range: use 0 <= prefix <= prompt and output >= 0"
                            .formatted(prefixTokens, promptTokens, maxOutputTokens));
        }
        if (expiryNanos < deadlineNanos) {
            throw new IllegalArgumentException(
                    "expiry is before the deadline of the first event: use a time at or after it");
        }
        unusable = Set.copyOf(unusable);
        forbiddenVersions = Set.copyOf(forbiddenVersions);
    }

    /**
     * Returns the tokens that the request may hold in an engine's memory. Numbers of callers may be
     * arbitrarily large.
     */
    public long memoryTokens() {
        return Math.min(promptTokens, MAX_TOKENS) + Math.min(maxOutputTokens, MAX_TOKENS);
    }

    /** Returns this request with a maximum number of generated tokens if it has none. */
    PlacementRequest withDefaultOutput(long tokens) {
        return maxOutputTokens > 0
                ? this
                : new PlacementRequest(
                        key,
                        prefixHash,
                        prefixTokens,
                        promptTokens,
                        tokens,
                        priority,
                        team,
                        targetNanos,
                        deadlineNanos,
                        expiryNanos,
                        inputDataCentre,
                        remoteMillis,
                        unusable,
                        requiredVersion,
                        forbiddenVersions);
    }

    /** Returns a builder of a request with the given identity. */
    public static Builder builder(PlacementKey key) {
        return new Builder(key);
    }

    /** Builds a request. Target, deadline and expiry are required. */
    public static final class Builder {
        private final PlacementKey mKey;
        private long mPrefixHash;
        private long mPrefixTokens;
        private long mPromptTokens;
        private long mMaxOutputTokens;
        private int mPriority;
        private String mTeam = "";
        private Long mTargetNanos;
        private Long mDeadlineNanos;
        private Long mExpiryNanos;
        private Optional<DataCentreId> mInputDataCentre = Optional.empty();
        private double mRemoteMillis;
        private Set<UpstreamId> mUnusable = Set.of();
        private Optional<SoftwareVersion> mRequiredVersion = Optional.empty();
        private Set<SoftwareVersion> mForbiddenVersions = Set.of();

        private Builder(PlacementKey key) {
            mKey = key;
        }

        /** Sets the shared prefix of the prompt. */
        public Builder prefix(long hash, long tokens) {
            mPrefixHash = hash;
            mPrefixTokens = tokens;
            return this;
        }

        /**
         * Sets the length of the prompt and the maximum number of generated tokens, 0 if unknown.
         */
        public Builder tokens(long prompt, long maxOutput) {
            mPromptTokens = prompt;
            mMaxOutputTokens = maxOutput;
            return this;
        }

        /** Sets the priority; 0 is the most urgent. */
        public Builder priority(int priority) {
            mPriority = priority;
            return this;
        }

        /** Sets the team on whose behalf the request runs. */
        public Builder team(String team) {
            mTeam = team;
            return this;
        }

        /** Sets the times by which the first event should and must come. */
        public Builder firstEventBy(long targetNanos, long deadlineNanos) {
            mTargetNanos = targetNanos;
            mDeadlineNanos = deadlineNanos;
            return this;
        }

        /** Sets the time by which the request has certainly ended. */
        public Builder expiry(long nanos) {
            mExpiryNanos = nanos;
            return this;
        }

        /** Sets where the results of the stages are, and the cost of an engine elsewhere. */
        public Builder input(DataCentreId dataCentre, double remoteMillis) {
            mInputDataCentre = Optional.of(dataCentre);
            mRemoteMillis = remoteMillis;
            return this;
        }

        /** Sets the engines that the entry may not use now. */
        public Builder unusable(Set<UpstreamId> engines) {
            mUnusable = engines;
            return this;
        }

        /** Sets the version at which a stream must go on. */
        public Builder requiredVersion(SoftwareVersion version) {
            mRequiredVersion = Optional.of(version);
            return this;
        }

        /** Sets the versions that the request must not reach. */
        public Builder forbiddenVersions(Set<SoftwareVersion> versions) {
            mForbiddenVersions = versions;
            return this;
        }

        /** Returns the request. */
        public PlacementRequest build() {
            return new PlacementRequest(
                    mKey,
                    mPrefixHash,
                    mPrefixTokens,
                    mPromptTokens,
                    mMaxOutputTokens,
                    mPriority,
                    mTeam,
                    Objects.requireNonNull(mTargetNanos, "target: call firstEventBy"),
                    Objects.requireNonNull(mDeadlineNanos, "deadline: call firstEventBy"),
                    Objects.requireNonNull(mExpiryNanos, "expiry: call expiry"),
                    mInputDataCentre,
                    mRemoteMillis,
                    mUnusable,
                    mRequiredVersion,
                    mForbiddenVersions);
        }
    }
}
