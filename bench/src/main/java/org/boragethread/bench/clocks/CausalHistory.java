package org.boragethread.bench.clocks;

import java.util.BitSet;

/** What one process has delivered, by exact vector clocks; judges its deliveries. */
final class CausalHistory {

    private final int mIndex;
    private final int[] mPast;
    private final int[] mWithoutGap;
    private final BitSet[] mDelivered;
    private long mDeliveries;
    private long mErrors;
    private double mLatencyMillis;

    CausalHistory(int processes, int index) {
        mIndex = index;
        mPast = new int[processes];
        mWithoutGap = new int[processes];
        mDelivered = new BitSet[processes];
        for (int i = 0; i < processes; i++) {
            mDelivered[i] = new BitSet();
        }
    }

    /** Returns the vector clock of a message that the process sends now. */
    int[] send() {
        mPast[mIndex]++;
        mWithoutGap[mIndex]++;
        return mPast.clone();
    }

    /** Records the delivery of another process's message. */
    void deliver(int sender, int[] past, double latencyMillis) {
        mDeliveries++;
        mLatencyMillis += latencyMillis;
        if (lacksEarlierMessage(sender, past)) {
            mErrors++;
        }
        for (int i = 0; i < past.length; i++) {
            mPast[i] = Math.max(mPast[i], past[i]);
        }
        mDelivered[sender].set(past[sender]);
        mWithoutGap[sender] = mDelivered[sender].nextClearBit(1) - 1;
    }

    private boolean lacksEarlierMessage(int sender, int[] past) {
        for (int i = 0; i < past.length; i++) {
            int needed = i == sender ? past[i] - 1 : past[i];
            if (mWithoutGap[i] < needed) {
                return true;
            }
        }
        return false;
    }

    long deliveries() {
        return mDeliveries;
    }

    long errors() {
        return mErrors;
    }

    double latencyMillis() {
        return mLatencyMillis;
    }
}
