package org.boragethread.core.placement;

import java.time.Duration;
import org.boragethread.core.upstream.ResponseTimeModel;

/**
 * Expected time for which a prompt occupies an engine of usual speed. Without new prompts it is
 * learned anew, since an estimate that has become too long would refuse all requests and would then
 * never be corrected. Not thread-safe.
 */
final class PromptTimes {

    private static final long MAX_AGE_NANOS = Duration.ofSeconds(2).toNanos();

    private ResponseTimeModel mModel = new ResponseTimeModel();
    private long mSampledAt = Long.MIN_VALUE;

    /** Adds a processed prompt. */
    void add(double tokens, double millis, long now) {
        resetIfOld(now);
        mModel.addAndCompare(tokens, millis);
        mSampledAt = now;
    }

    /** Forgets what was learned if no prompt was processed for a while. */
    void resetIfOld(long now) {
        if (mSampledAt != Long.MIN_VALUE && now - mSampledAt > MAX_AGE_NANOS) {
            mModel = new ResponseTimeModel();
            mSampledAt = Long.MIN_VALUE;
        }
    }

    /** Returns the expected time for a prompt with the given uncached tokens. */
    double expectedMillis(double tokens) {
        return mModel.expectedMillis(tokens);
    }

    /** Returns the part of the time that is due to the given tokens. */
    double prefillMillis(double tokens) {
        return mModel.prefillMillis(tokens);
    }

    double meanPrefillMillis() {
        return mModel.meanPrefillMillis();
    }
}
