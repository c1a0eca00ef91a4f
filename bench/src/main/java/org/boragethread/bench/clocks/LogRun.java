package org.boragethread.bench.clocks;

import com.google.protobuf.CodedOutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;

/**
 * Simulates messages that go through an append-only log and are delivered in the order of their
 * offsets. A process appends its next message only after it has read back its previous one.
 */
final class LogRun extends BroadcastRun {

    private record Message(int sender, int[] clock, double requestedAt) {}

    private final List<TreeMap<Integer, Message>> mBuffered = new ArrayList<>();
    private final List<Deque<Double>> mPendingSends = new ArrayList<>();
    private final int[] mNextOffsets;
    private int mEndOffset;

    LogRun(ClockSetup setup) {
        super(setup);
        mNextOffsets = new int[setup.processes()];
        for (int i = 0; i < setup.processes(); i++) {
            mBuffered.add(new TreeMap<>());
            mPendingSends.add(new ArrayDeque<>());
        }
    }

    @Override
    void send(int process) {
        Deque<Double> pendingSends = mPendingSends.get(process);
        pendingSends.add(mQueue.now());
        if (pendingSends.size() == 1) {
            append(process);
        }
    }

    private void append(int process) {
        Message message =
                new Message(
                        process, mTrackers.get(process).send(), mPendingSends.get(process).peek());
        mQueue.afterDelay(() -> assignOffset(message));
    }

    private void assignOffset(Message message) {
        int offset = mEndOffset++;
        addBytes(CodedOutputStream.computeUInt32SizeNoTag(offset));
        for (int i = 0; i < mSetup.processes(); i++) {
            int receiver = i;
            mQueue.afterDelay(() -> receive(receiver, offset, message));
        }
    }

    private void receive(int process, int offset, Message message) {
        TreeMap<Integer, Message> buffered = mBuffered.get(process);
        buffered.put(offset, message);
        while (buffered.containsKey(mNextOffsets[process])) {
            deliver(process, buffered.remove(mNextOffsets[process]));
            mNextOffsets[process]++;
        }
    }

    private void deliver(int process, Message message) {
        if (message.sender() != process) {
            double latency = mQueue.now() - message.requestedAt();
            mTrackers.get(process).deliver(message.sender(), message.clock(), latency);
            return;
        }
        mPendingSends.get(process).remove();
        if (!mPendingSends.get(process).isEmpty()) {
            append(process);
        }
    }

    @Override
    long undelivered() {
        return mBuffered.stream().mapToLong(TreeMap::size).sum();
    }
}
