package org.boragethread.core.retry;

import java.time.Duration;
import java.util.Arrays;

/** A count over the last window of time. Not safe for use by several threads. */
final class SlidingWindowCounter {

    private static final int SLOTS = 10;

    private final long mSlotNanos;
    private final long[] mSlots = new long[SLOTS];
    private long mSlot;
    private long mTotal;

    SlidingWindowCounter(Duration window, long nowNanos) {
        mSlotNanos = window.toNanos() / SLOTS;
        mSlot = Math.floorDiv(nowNanos, mSlotNanos);
    }

    void increment(long nowNanos) {
        roll(nowNanos);
        mSlots[(int) Math.floorMod(mSlot, (long) SLOTS)]++;
        mTotal++;
    }

    long total(long nowNanos) {
        roll(nowNanos);
        return mTotal;
    }

    /** Empties the slots whose time has come round again. */
    private void roll(long nowNanos) {
        long slot = Math.floorDiv(nowNanos, mSlotNanos);
        if (slot - mSlot >= SLOTS) {
            Arrays.fill(mSlots, 0);
            mTotal = 0;
            mSlot = slot;
        }
        while (mSlot < slot) {
            mSlot++;
            int index = (int) Math.floorMod(mSlot, (long) SLOTS);
            mTotal -= mSlots[index];
            mSlots[index] = 0;
        }
    }
}
