package org.boragethread.core.limit;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.boragethread.core.time.TimeSource;

/**
 * Concurrency limit that starts at what a cold upstream can handle, increases in small steps on
 * successful responses while the limit is being reached, and decreases at once on any sign of
 * overload.
 *
 * <p>Only calls that were admitted after the last change are counted, so each increase takes at
 * least one round trip, and a batch of calls that fail together lowers the limit only once. Each
 * increase needs more responses during warm-up than afterwards. A limit at which the upstream was
 * overloaded becomes a ceiling that is retried only after a delay, which doubles with each further
 * overload at the ceiling. If the upstream has an outage during warm-up, each step needs twice as
 * many responses from then on.
 */
public final class AdaptiveLimit implements ConcurrencyLimit {

    private static final double MIN_UTILISATION_TO_INCREASE = 0.75;
    private static final int STEP_DIVISOR = 16;
    private static final Duration MIN_INCREASE_INTERVAL = Duration.ofMillis(200);
    private static final Duration MAX_CEILING_RETRY_DELAY = Duration.ofSeconds(6);
    private static final int MAX_CEILING_HITS = 5;
    private static final int WARM_UP_ROUNDS = 2;
    private static final int MAX_WARM_UP_RESPONSES = 512;
    private static final int WARM_LIMIT_FACTOR = 4;
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration MAX_REPORT_AGE = Duration.ofSeconds(2);
    private static final double BUSY_FACTOR = 0.7;
    private static final double FAILED_FACTOR = 0.8;
    private static final double TIMED_OUT_FACTOR = 0.7;
    private static final double LATENCY_FACTOR = 0.7;
    private static final double TIMEOUT_LATENCY_FACTOR = 2;

    private final TimeSource mTime;
    private final LatencyMonitor mLatencies;
    private final FailureHistory mFailures = new FailureHistory();
    private int mWarmUpResponses;
    private int mColdLimit;
    private int mMaxLimit;
    private int mLimit;
    private int mSuccesses;
    private int mLimitAtFirstFailure;
    private boolean mCold = true;
    private int mCeiling = Integer.MAX_VALUE;
    private int mCeilingHits;
    private long mChangedNanos;
    private long mLastSuccessNanos;
    private int mReportedLimit;
    private long mReportExpiryNanos;

    private AdaptiveLimit(Builder builder) {
        mTime = builder.mTime;
        mColdLimit = builder.mColdLimit;
        mMaxLimit = builder.mMaxLimit;
        mWarmUpResponses = builder.mWarmUpResponses;
        mLimit = mColdLimit;
        mLatencies = new LatencyMonitor(mTime);
        mChangedNanos = mTime.nanoTime();
        mLastSuccessNanos = mChangedNanos;
        mReportedLimit = mMaxLimit;
        mReportExpiryNanos = mChangedNanos;
    }

    private static void checkBounds(int coldLimit, int maxLimit) {
        if (coldLimit < 1 || maxLimit < coldLimit) {
            throw new IllegalArgumentException(
                    "coldLimit %d and maxLimit %d must satisfy 1 <= coldLimit <= maxLimit"
                            .formatted(coldLimit, maxLimit));
        }
    }

    @Override
    public int limit() {
        return Math.min(mLimit, reportedCap());
    }

    @Override
    public boolean isCold() {
        return mCold;
    }

    @Override
    public Optional<LimitChange> onSuccess(CallSample sample) {
        mLastSuccessNanos = mTime.nanoTime();
        mFailures.add(false);
        if (sample.startNanos() < mChangedNanos) {
            return Optional.empty();
        }
        switch (mLatencies.add(sample.latency(), isLowLoad(sample))) {
            case SEVERE:
                return reset(LimitChangeReason.COLD_AGAIN);
            case JUMP:
                markCeiling(mLimit);
                return decrease(LATENCY_FACTOR, LimitChangeReason.LATENCY_JUMP);
            default:
                return countSuccess(sample);
        }
    }

    private Optional<LimitChange> countSuccess(CallSample sample) {
        if (sample.inFlight() < Math.ceil(MIN_UTILISATION_TO_INCREASE * limit())) {
            return Optional.empty();
        }
        mSuccesses++;
        if (mSuccesses < successesToIncrease() || !mFailures.allowsIncrease()) {
            return Optional.empty();
        }
        updateCold();
        return increase();
    }

    private void updateCold() {
        if (mLimit >= Math.min(mMaxLimit, WARM_LIMIT_FACTOR * mColdLimit)) {
            mCold = false;
        }
    }

    private int successesToIncrease() {
        if (!mCold || mLimit < mColdLimit) {
            return limit();
        }
        return Math.max(mWarmUpResponses, WARM_UP_ROUNDS * limit());
    }

    private Optional<LimitChange> increase() {
        int target = mLimit + 1 + mLimit / STEP_DIVISOR;
        int to = Math.min(Math.min(mMaxLimit, reportedCap()), target);
        if (to <= mLimit) {
            mSuccesses = 0;
            return Optional.empty();
        }
        if (mTime.since(mChangedNanos).compareTo(delayBefore(to)) < 0) {
            return Optional.empty();
        }
        if (mLimit >= mCeiling) {
            mCeiling = Integer.MAX_VALUE;
            mCeilingHits = 0;
        }
        return change(to, LimitChangeReason.GOOD_ANSWERS);
    }

    private Duration delayBefore(int limit) {
        if (limit < mCeiling) {
            return MIN_INCREASE_INTERVAL;
        }
        Duration doubled = MIN_INCREASE_INTERVAL.multipliedBy(1L << mCeilingHits);
        return doubled.compareTo(MAX_CEILING_RETRY_DELAY) > 0 ? MAX_CEILING_RETRY_DELAY : doubled;
    }

    /** Records a limit at which the upstream was overloaded. */
    private void markCeiling(int limit) {
        if (limit > 1) {
            mCeiling = limit;
            mCeilingHits = Math.min(MAX_CEILING_HITS, mCeilingHits + 1);
        }
    }

    @Override
    public Optional<LimitChange> onFailure(CallSample sample, FailureKind kind) {
        mFailures.add(true);
        if (mFailures.consecutiveFailures() == 1) {
            mLimitAtFirstFailure = mLimit;
        }
        if (mFailures.isOutage()) {
            handleOutage();
            return reset(LimitChangeReason.COLD_AGAIN);
        }
        return sample.startNanos() < mChangedNanos
                ? Optional.empty()
                : handleSingleFailure(sample, kind);
    }

    private boolean isLowLoad(CallSample sample) {
        return sample.inFlight() <= mColdLimit;
    }

    private void handleOutage() {
        mFailures.clearConsecutiveFailures();
        if (mLimitAtFirstFailure <= mColdLimit) {
            return;
        }
        markCeiling(mLimitAtFirstFailure);
        if (mCold) {
            mWarmUpResponses = Math.min(MAX_WARM_UP_RESPONSES, 2 * mWarmUpResponses);
        }
    }

    private Optional<LimitChange> handleSingleFailure(CallSample sample, FailureKind kind) {
        switch (kind) {
            case BUSY:
                markCeiling(mLimit);
                return decrease(BUSY_FACTOR, LimitChangeReason.BUSY);
            case FAILED:
                return mFailures.shouldLowerLimit(mLimit, mTime.nanoTime())
                        ? decrease(FAILED_FACTOR, LimitChangeReason.FAILED)
                        : Optional.empty();
            default:
                return isUpstreamSlow(sample)
                        ? decrease(TIMED_OUT_FACTOR, LimitChangeReason.TIMED_OUT)
                        : Optional.empty();
        }
    }

    /**
     * Returns whether a call that timed out had been given enough time, so that the timeout points
     * to a slow upstream rather than to a short deadline.
     */
    private boolean isUpstreamSlow(CallSample sample) {
        long baseline = mLatencies.baseline().map(Duration::toNanos).orElse(0L);
        return sample.latency().toNanos() >= TIMEOUT_LATENCY_FACTOR * baseline;
    }

    @Override
    public Optional<LimitChange> onUpstreamLost(LimitChangeReason reason) {
        return reset(reason);
    }

    @Override
    public Optional<LimitChange> onIdle() {
        if (mCold || mTime.since(mLastSuccessNanos).compareTo(IDLE_TIMEOUT) < 0) {
            return Optional.empty();
        }
        return reset(LimitChangeReason.IDLE);
    }

    @Override
    public Optional<LimitChange> onReportedLoad(ReportedLoad load) {
        Duration left = MAX_REPORT_AGE.minus(load.age());
        if (left.isNegative() || left.isZero()) {
            return Optional.empty();
        }
        mReportedLimit = Math.max(1, load.limit());
        mReportExpiryNanos = mTime.nanoTime() + left.toNanos();
        if (mReportedLimit >= mLimit) {
            return Optional.empty();
        }
        return change(mReportedLimit, LimitChangeReason.REPORTED_LOAD);
    }

    private int reportedCap() {
        return mTime.nanoTime() - mReportExpiryNanos < 0 ? mReportedLimit : mMaxLimit;
    }

    @Override
    public Optional<LimitChange> reconfigure(int coldLimit, int maxLimit) {
        checkBounds(coldLimit, maxLimit);
        boolean isInitial = mCold && mLimit == mColdLimit;
        mColdLimit = coldLimit;
        mMaxLimit = maxLimit;
        int to = Math.min(maxLimit, isInitial ? coldLimit : mLimit);
        return to == mLimit ? Optional.empty() : change(to, LimitChangeReason.CONFIGURED);
    }

    private Optional<LimitChange> decrease(double factor, LimitChangeReason reason) {
        int to = Math.max(1, (int) Math.floor(mLimit * factor));
        return to == mLimit ? Optional.empty() : change(to, reason);
    }

    private Optional<LimitChange> reset(LimitChangeReason reason) {
        boolean hasEffect = !mCold || mLimit > mColdLimit;
        mCold = true;
        int to = Math.min(mLimit, mColdLimit);
        Optional<LimitChange> change = change(to, reason);
        return hasEffect ? change : Optional.empty();
    }

    private Optional<LimitChange> change(int to, LimitChangeReason reason) {
        LimitChange change = new LimitChange(mLimit, to, reason);
        mLimit = to;
        mSuccesses = 0;
        mChangedNanos = mTime.nanoTime();
        mLatencies.resetRecent();
        return Optional.of(change);
    }

    /** Builds adaptive limits. */
    public static final class Builder {
        /** Default of {@link #warmUpResponses}. */
        public static final int DEFAULT_WARM_UP_RESPONSES = 32;

        private final TimeSource mTime;
        private final int mColdLimit;
        private final int mMaxLimit;
        private int mWarmUpResponses = DEFAULT_WARM_UP_RESPONSES;

        /**
         * Creates a builder with the default settings for a cold upstream.
         *
         * @param coldLimit limit right after the start of the upstream, in calls
         * @param maxLimit maximum limit, in calls
         */
        public Builder(TimeSource time, int coldLimit, int maxLimit) {
            mTime = Objects.requireNonNull(time, "time");
            checkBounds(coldLimit, maxLimit);
            mColdLimit = coldLimit;
            mMaxLimit = maxLimit;
        }

        /** Sets the minimum number of successful responses for each step of the warm-up. */
        public Builder warmUpResponses(int responses) {
            if (responses < 1) {
                throw new IllegalArgumentException(
                        "warmUpResponses %d must be at least 1".formatted(responses));
            }
            mWarmUpResponses = responses;
            return this;
        }

        /** Builds the limit. */
        public AdaptiveLimit build() {
            return new AdaptiveLimit(this);
        }
    }
}
