package org.boragethread.core.upstream;

import java.time.Duration;

/**
 * Whether an upstream refuses connections, and when it may be tried again. Only a definite refusal
 * counts: an upstream that does not respond to a connection attempt may still be running. Not
 * thread-safe.
 */
final class RefusalMark {

    private static final long FIRST_BACK_OFF_NANOS = Duration.ofMillis(300).toNanos();

    /**
     * Bounds the back-off to 4.8 s, for which failed upstreams are avoided too. An upstream that
     * accepts connections again without a new announcement is unused for at most that time; 60 dead
     * addresses cost an entry 13 connection attempts a second.
     */
    private static final int MAX_DOUBLINGS = 4;

    private int mRefusals;
    private long mBackOffEnd = Long.MIN_VALUE;
    private long mRetryAt = Long.MIN_VALUE;
    private long mClearedAt = Long.MIN_VALUE;
    private long mRefusedAt = Long.MIN_VALUE;

    /**
     * Records that a connection was refused. One that was attempted during the back-off, or before
     * the mark was cleared, does not prolong the back-off.
     *
     * @param calledAt when the attempt began
     */
    void onRefused(long calledAt, long now) {
        if (calledAt < mClearedAt) {
            return;
        }
        mRefusedAt = now;
        if (calledAt < mBackOffEnd) {
            return;
        }
        mRefusals++;
        mBackOffEnd = now + backOffNanos();
        mRetryAt = mBackOffEnd;
    }

    /** After the back-off, holds other requests back for a further one while this one is tried. */
    void onSent(long now) {
        if (isSet() && now >= mRetryAt) {
            mRetryAt = now + backOffNanos();
        }
    }

    private long backOffNanos() {
        return FIRST_BACK_OFF_NANOS << Math.min(MAX_DOUBLINGS, mRefusals - 1);
    }

    /** Returns whether the latest refusal, if any, was before a call was sent. */
    boolean precedes(long calledAt) {
        return calledAt > mRefusedAt;
    }

    /** Removes the mark: the upstream has accepted a connection or announced another run. */
    void clear(long now) {
        mRefusals = 0;
        mBackOffEnd = Long.MIN_VALUE;
        mRetryAt = Long.MIN_VALUE;
        mClearedAt = now;
    }

    /** Returns whether the latest connection attempt was refused. */
    boolean isSet() {
        return mRefusals > 0;
    }

    /** Returns the end of the back-off; in the past if there is none. */
    long retryAt() {
        return mRetryAt;
    }
}
