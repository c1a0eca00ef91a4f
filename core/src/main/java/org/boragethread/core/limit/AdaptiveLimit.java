package org.boragethread.core.limit;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.boragethread.core.time.TimeSource;

/**
 * A limit that starts at what a cold upstream bears, rises by small steps on good answers while it
 * is in use, and falls at once on any sign of overload.
 *
 * <p>Only calls that were admitted after the last change count, so each step takes at least one
 * round trip, and a batch of calls that fail together lowers the limit once. While the upstream
 * warms up a step takes more answers than later. A limit at which the upstream was overloaded is
 * tried again only after a pause, which doubles each time the upstream is overloaded there again.
 * An upstream that breaks down while it warms up gets twice the answers for each step from then on.
 */
public final class AdaptiveLimit implements ConcurrencyLimit {

    private static final double IN_USE_SHARE = 0.75;
    private static final int STEP_SHARE = 16;
    private static final Duration MIN_TIME_BETWEEN_RISES = Duration.ofMillis(200);
    private static final Duration MAX_PAUSE_AT_CEILING = Duration.ofSeconds(6);
    private static final int MAX_DOUBLINGS = 5;
    private static final int WARM_UP_ROUNDS = 2;
    private static final int MAX_WARM_UP_ANSWERS = 512;
    private static final int WARM_FACTOR = 4;
    private static final Duration IDLE_TIME = Duration.ofSeconds(30);
    private static final Duration MAX_REPORT_AGE = Duration.ofSeconds(2);
    private static final double BUSY_FACTOR = 0.7;
    private static final double FAILED_FACTOR = 0.8;
    private static final double TIMED_OUT_FACTOR = 0.7;
    private static final double LATENCY_FACTOR = 0.7;
    private static final double TIMEOUT_LATENCY_FACTOR = 2;

    private final TimeSource mTime;
    private final LatencyMonitor mLatency;
    private final FailureHistory mFailures = new FailureHistory();
    private int mWarmUpAnswers;
    private int mColdLimit;
    private int mMaxLimit;
    private int mLimit;
    private int mGood;
    private int mLimitAtFirstFailure;
    private boolean mCold = true;
    private int mCeiling = Integer.MAX_VALUE;
    private int mCeilingHits;
    private long mChangedAt;
    private long mLastGoodAt;
    private int mReportedLimit;
    private long mReportedUntil;

    private AdaptiveLimit(Builder builder) {
        mTime = builder.mTime;
        mColdLimit = builder.mColdLimit;
        mMaxLimit = builder.mMaxLimit;
        mWarmUpAnswers = builder.mWarmUpAnswers;
        mLimit = mColdLimit;
        mLatency = new LatencyMonitor(mTime);
        mChangedAt = mTime.nanoTime();
        mLastGoodAt = mChangedAt;
        mReportedLimit = mMaxLimit;
        mReportedUntil = mChangedAt;
    }

    private static void checkBounds(int coldLimit, int maxLimit) {
        if (coldLimit < 1 || maxLimit < coldLimit) {
            throw new IllegalArgumentException(
                    "coldLimit %d and maxLimit %d must satisfy 1 <= cold <= max"
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
        mLastGoodAt = mTime.nanoTime();
        mFailures.add(false);
        if (sample.startNanos() < mChangedAt) {
            return Optional.empty();
        }
        switch (mLatency.add(sample.latency(), isLowLoad(sample))) {
            case SEVERE:
                return reset(LimitChangeReason.COLD_AGAIN);
            case JUMP:
                markCeiling(mLimit);
                return lower(LATENCY_FACTOR, LimitChangeReason.LATENCY_JUMP);
            default:
                return countGood(sample);
        }
    }

    private Optional<LimitChange> countGood(CallSample sample) {
        if (sample.inFlight() < Math.ceil(IN_USE_SHARE * limit())) {
            return Optional.empty();
        }
        mGood++;
        if (mGood < answersToRise() || !mFailures.allowsIncrease()) {
            return Optional.empty();
        }
        checkWarm();
        return rise();
    }

    private void checkWarm() {
        if (mLimit >= Math.min(mMaxLimit, WARM_FACTOR * mColdLimit)) {
            mCold = false;
        }
    }

    private int answersToRise() {
        if (!mCold || mLimit < mColdLimit) {
            return limit();
        }
        return Math.max(mWarmUpAnswers, WARM_UP_ROUNDS * limit());
    }

    private Optional<LimitChange> rise() {
        int target = mLimit + 1 + mLimit / STEP_SHARE;
        int to = Math.min(Math.min(mMaxLimit, reportedCap()), target);
        if (to <= mLimit) {
            mGood = 0;
            return Optional.empty();
        }
        if (mTime.since(mChangedAt).compareTo(pauseBefore(to)) < 0) {
            return Optional.empty();
        }
        if (mLimit >= mCeiling) {
            mCeiling = Integer.MAX_VALUE;
            mCeilingHits = 0;
        }
        return change(to, LimitChangeReason.GOOD_ANSWERS);
    }

    private Duration pauseBefore(int limit) {
        if (limit < mCeiling) {
            return MIN_TIME_BETWEEN_RISES;
        }
        Duration doubled = MIN_TIME_BETWEEN_RISES.multipliedBy(1L << mCeilingHits);
        return doubled.compareTo(MAX_PAUSE_AT_CEILING) > 0 ? MAX_PAUSE_AT_CEILING : doubled;
    }

    /** Remembers a limit at which the upstream was overloaded. */
    private void markCeiling(int limit) {
        if (limit > 1) {
            mCeiling = limit;
            mCeilingHits = Math.min(MAX_DOUBLINGS, mCeilingHits + 1);
        }
    }

    @Override
    public Optional<LimitChange> onFailure(CallSample sample, FailureKind kind) {
        mFailures.add(true);
        if (mFailures.consecutiveFailures() == 1) {
            mLimitAtFirstFailure = mLimit;
        }
        if (mFailures.isOutage()) {
            onBreakdown();
            return reset(LimitChangeReason.COLD_AGAIN);
        }
        return sample.startNanos() < mChangedAt ? Optional.empty() : onSingleFailure(sample, kind);
    }

    private boolean isLowLoad(CallSample sample) {
        return sample.inFlight() <= mColdLimit;
    }

    private void onBreakdown() {
        mFailures.clearConsecutiveFailures();
        if (mLimitAtFirstFailure <= mColdLimit) {
            return;
        }
        markCeiling(mLimitAtFirstFailure);
        if (mCold) {
            mWarmUpAnswers = Math.min(MAX_WARM_UP_ANSWERS, 2 * mWarmUpAnswers);
        }
    }

    private Optional<LimitChange> onSingleFailure(CallSample sample, FailureKind kind) {
        switch (kind) {
            case BUSY:
                markCeiling(mLimit);
                return lower(BUSY_FACTOR, LimitChangeReason.BUSY);
            case FAILED:
                return mFailures.shouldLowerLimit(mLimit, mTime.nanoTime())
                        ? lower(FAILED_FACTOR, LimitChangeReason.FAILED)
                        : Optional.empty();
            default:
                return isUpstreamSlow(sample)
                        ? lower(TIMED_OUT_FACTOR, LimitChangeReason.TIMED_OUT)
                        : Optional.empty();
        }
    }

    /** Tells whether a call that timed out had been given the usual time. */
    private boolean isUpstreamSlow(CallSample sample) {
        long usual = mLatency.baseline().map(Duration::toNanos).orElse(0L);
        return sample.latency().toNanos() >= TIMEOUT_LATENCY_FACTOR * usual;
    }

    @Override
    public Optional<LimitChange> onUpstreamLost(LimitChangeReason reason) {
        return reset(reason);
    }

    @Override
    public Optional<LimitChange> onIdle() {
        if (mCold || mTime.since(mLastGoodAt).compareTo(IDLE_TIME) < 0) {
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
        mReportedUntil = mTime.nanoTime() + left.toNanos();
        if (mReportedLimit >= mLimit) {
            return Optional.empty();
        }
        return change(mReportedLimit, LimitChangeReason.REPORTED_LOAD);
    }

    private int reportedCap() {
        return mTime.nanoTime() - mReportedUntil < 0 ? mReportedLimit : mMaxLimit;
    }

    @Override
    public Optional<LimitChange> reconfigure(int coldLimit, int maxLimit) {
        checkBounds(coldLimit, maxLimit);
        boolean isAtStart = mCold && mLimit == mColdLimit;
        mColdLimit = coldLimit;
        mMaxLimit = maxLimit;
        int to = Math.min(maxLimit, isAtStart ? coldLimit : mLimit);
        return to == mLimit ? Optional.empty() : change(to, LimitChangeReason.CONFIGURED);
    }

    private Optional<LimitChange> lower(double factor, LimitChangeReason reason) {
        int to = Math.max(1, (int) Math.floor(mLimit * factor));
        return to == mLimit ? Optional.empty() : change(to, reason);
    }

    private Optional<LimitChange> reset(LimitChangeReason reason) {
        boolean isNews = !mCold || mLimit > mColdLimit;
        mCold = true;
        int to = Math.min(mLimit, mColdLimit);
        Optional<LimitChange> change = change(to, reason);
        return isNews ? change : Optional.empty();
    }

    private Optional<LimitChange> change(int to, LimitChangeReason reason) {
        LimitChange change = new LimitChange(mLimit, to, reason);
        mLimit = to;
        mGood = 0;
        mChangedAt = mTime.nanoTime();
        mLatency.resetRecent();
        return Optional.of(change);
    }

    /** Makes limits. */
    public static final class Builder {
        /** Default for {@link #warmUpAnswers}. */
        public static final int DEFAULT_WARM_UP_RESPONSES = 32;

        private final TimeSource mTime;
        private final int mColdLimit;
        private final int mMaxLimit;
        private int mWarmUpAnswers = DEFAULT_WARM_UP_RESPONSES;

        /**
         * Starts with the defaults for an upstream that is cold.
         *
         * @param coldLimit limit just after the upstream's start, in calls
         * @param maxLimit greatest limit, in calls
         */
        public Builder(TimeSource time, int coldLimit, int maxLimit) {
            mTime = Objects.requireNonNull(time, "time");
            checkBounds(coldLimit, maxLimit);
            mColdLimit = coldLimit;
            mMaxLimit = maxLimit;
        }

        /** Sets the least number of good answers for each step of the warm-up. */
        public Builder warmUpResponses(int answers) {
            if (answers < 1) {
                throw new IllegalArgumentException(
                        "warmUpAnswers %d must be at least 1".formatted(answers));
            }
            mWarmUpAnswers = answers;
            return this;
        }

        /** Returns the limit. */
        public AdaptiveLimit build() {
            return new AdaptiveLimit(this);
        }
    }
}
