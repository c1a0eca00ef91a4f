package org.boragethread.bench.clocks;

import java.util.ArrayList;
import java.util.List;

/** A simulation of processes that broadcast messages at random times. */
abstract class BroadcastRun {

    final ClockSetup mSetup;
    final EventQueue mQueue;
    final List<CausalOrderTracker> mTrackers = new ArrayList<>();
    private int mStarted;
    private long mBytes;

    BroadcastRun(ClockSetup setup) {
        mSetup = setup;
        mQueue = new EventQueue(setup.seed());
        for (int i = 0; i < setup.processes(); i++) {
            mTrackers.add(new CausalOrderTracker(setup.processes(), i));
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
        long deliveries = mTrackers.stream().mapToLong(CausalOrderTracker::deliveries).sum();
        long errors = mTrackers.stream().mapToLong(CausalOrderTracker::violations).sum();
        double latency = mTrackers.stream().mapToDouble(CausalOrderTracker::latencyMillis).sum();
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
