package org.boragethread.bench.clocks;

import java.util.ArrayList;
import java.util.List;

/** A simulation of processes that broadcast messages at random times. */
abstract class BroadcastRun {

    final ClockSetup mSetup;
    final EventQueue mQueue;
    final List<CausalHistory> mHistories = new ArrayList<>();
    private int mStarted;
    private long mBytes;

    BroadcastRun(ClockSetup setup) {
        mSetup = setup;
        mQueue = new EventQueue(setup.seed());
        for (int i = 0; i < setup.processes(); i++) {
            mHistories.add(new CausalHistory(setup.processes(), i));
        }
    }

    /** Sends one message of a process. */
    abstract void send(int process);

    /** Returns the number of messages that are received but not delivered yet. */
    abstract long undelivered();

    final void addBytes(int bytes) {
        mBytes += bytes;
    }

    final ClockResult run() {
        for (int i = 0; i < mSetup.processes(); i++) {
            scheduleSend(i);
        }
        mQueue.run();
        long deliveries = mHistories.stream().mapToLong(CausalHistory::deliveries).sum();
        long errors = mHistories.stream().mapToLong(CausalHistory::errors).sum();
        double latency = mHistories.stream().mapToDouble(CausalHistory::latencyMillis).sum();
        return new ClockResult(
                deliveries,
                errors,
                undelivered(),
                (double) mBytes / mSetup.messages(),
                latency / Math.max(1, deliveries));
    }

    private void scheduleSend(int process) {
        mQueue.afterGap(mSetup.meanGapMillis(), () -> start(process));
    }

    private void start(int process) {
        if (mStarted == mSetup.messages()) {
            return;
        }
        mStarted++;
        send(process);
        scheduleSend(process);
    }
}
