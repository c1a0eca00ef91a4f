package org.boragethread.bench.clocks;

import java.util.BitSet;

/**
 * Tracks the deliveries of one process with exact vector clocks and counts causal order violations.
 */
final class CausalOrderTracker {

    private final int mIndex;
    private final int[] mClock;
    private final int[] mContiguous;
    private final BitSet[] mDelivered;
    private long mDeliveries;
    private long mErrors;
    private double mLatencyMillis;

    CausalOrderTracker(int processes, int index) {
        mIndex = index;
        mClock = new int[processes];
        mContiguous = new int[processes];
        mDelivered = new BitSet[processes];
        for (int i = 0; i < processes; i++) {
            mDelivered[i] = new BitSet();
        }
    }

    /** Returns the vector clock of a message that the process sends now. */
    int[] send() {
        mClock[mIndex]++;
        mContiguous[mIndex]++;
        return mClock.clone();
    }

    /** Records the delivery of a message from another process. */
    void deliver(int sender, int[] clock, double latencyMillis) {
        mDeliveries++;
        mLatencyMillis += latencyMillis;
        if (lacksEarlierMessage(sender, clock)) {
            mErrors++;
        }
        for (int i = 0; i < clock.length; i++) {
            mClock[i] = Math.max(mClock[i], clock[i]);
        }
        mDelivered[sender].set(clock[sender]);
        mContiguous[sender] = mDelivered[sender].nextClearBit(1) - 1;
    }

    private boolean lacksEarlierMessage(int sender, int[] clock) {
        for (int i = 0; i < clock.length; i++) {
            int needed = i == sender ? clock[i] - 1 : clock[i];
            if (mContiguous[i] < needed) {
                return true;
            }
        }
        return false;
    }

    long deliveries() {
        return mDeliveries;
    }

    long violations() {
        return mErrors;
    }

    double latencyMillis() {
        return mLatencyMillis;
    }
}
