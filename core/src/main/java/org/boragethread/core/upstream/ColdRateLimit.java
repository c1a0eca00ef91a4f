package org.boragethread.core.upstream;

import java.util.Arrays;

/**
 * Limits the calls that this process sends to a cold upstream in any second, as a sliding window
 * over the times of the latest calls. Not thread-safe.
 */
final class ColdRateLimit {

    /** Longer than one second, because calls sent in one second may arrive in less than one. */
    private static final long WINDOW_NANOS = 1_200_000_000L;

    private long[] mSentAt = new long[0];
    private int mOldest;

    /** Returns the time in nanoseconds until a call may be sent; 0 if one may be sent now. */
    long nanosUntilAllowed(int limit, long now) {
        resize(limit, now);
        return Math.max(0, mSentAt[mOldest] + WINDOW_NANOS - now);
    }

    /** Counts a call. */
    void onSent(long now) {
        if (mSentAt.length == 0) {
            return;
        }
        mSentAt[mOldest] = now;
        mOldest = (mOldest + 1) % mSentAt.length;
    }

    /** Applies a changed limit; the window then starts as if no calls had been sent. */
    private void resize(int limit, long now) {
        if (mSentAt.length == limit) {
            return;
        }
        mSentAt = new long[limit];
        Arrays.fill(mSentAt, now - 2 * WINDOW_NANOS);
        mOldest = 0;
    }
}
