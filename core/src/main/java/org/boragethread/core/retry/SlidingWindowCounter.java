package org.boragethread.core.retry;

import java.time.Duration;
import java.util.Arrays;

/** Counts events of the last window of time. The window moves by whole slots. Not thread-safe. */
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
        advance(nowNanos);
        mSlots[(int) Math.floorMod(mSlot, (long) SLOTS)]++;
        mTotal++;
    }

    /** Removes an event, if the window still holds one of its slot. */
    void decrement(long eventNanos, long nowNanos) {
        advance(nowNanos);
        long slot = Math.floorDiv(eventNanos, mSlotNanos);
        int index = (int) Math.floorMod(slot, (long) SLOTS);
        if (mSlot - slot < SLOTS && mSlots[index] > 0) {
            mSlots[index]--;
            mTotal--;
        }
    }

    long total(long nowNanos) {
        advance(nowNanos);
        return mTotal;
    }

    /** Moves the window to the given time and clears the slots that have left it. */
    private void advance(long nowNanos) {
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
