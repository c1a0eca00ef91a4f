package org.boragethread.core.upstream;

import java.util.Arrays;

/**
 * Bounds the calls that this process sends to a cold upstream in any second. Not safe for use by
 * several threads.
 */
final class ColdRate {

    /** Calls sent in one second may arrive in less than one. */
    private static final long WINDOW_NANOS = 1_200_000_000L;

    private long[] mSent = new long[0];
    private int mNext;

    /** Returns the time in nanoseconds until a call may be sent; 0 if one may be sent now. */
    long nanosUntilAllowed(int limit, long now) {
        resize(limit, now);
        return Math.max(0, mSent[mNext] + WINDOW_NANOS - now);
    }

    /** Counts a call. */
    void onSent(long now) {
        if (mSent.length == 0) {
            return;
        }
        mSent[mNext] = now;
        mNext = (mNext + 1) % mSent.length;
    }

    /** A new limit starts as if nothing had been sent. */
    private void resize(int limit, long now) {
        if (mSent.length == limit) {
            return;
        }
        mSent = new long[limit];
        Arrays.fill(mSent, now - 2 * WINDOW_NANOS);
        mNext = 0;
    }
}
