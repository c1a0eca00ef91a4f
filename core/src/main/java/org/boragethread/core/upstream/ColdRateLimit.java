package org.boragethread.core.upstream;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Counts the calls that this process sent to one upstream within the latest {@link
 * ColdRateShare#WINDOW}. Not thread-safe.
 */
final class ColdRateLimit {

    private final Deque<Long> mSentAt = new ArrayDeque<>();

    /** Returns whether one more call may be sent if the given number may be sent in a window. */
    boolean isAllowed(int calls, long now) {
        removeOld(now);
        return mSentAt.size() < calls;
    }

    /** Counts a call. */
    void onSent(long now) {
        removeOld(now);
        mSentAt.add(now);
    }

    private void removeOld(long now) {
        long start = now - ColdRateShare.WINDOW.toNanos();
        while (!mSentAt.isEmpty() && mSentAt.peek() <= start) {
            mSentAt.poll();
        }
    }
}
