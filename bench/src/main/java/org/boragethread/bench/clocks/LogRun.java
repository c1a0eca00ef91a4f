package org.boragethread.bench.clocks;

import com.google.protobuf.CodedOutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;

/**
 * Messages go to an append-only log, and every process delivers them in the order of their offsets.
 * A process sends its next message only after it has read its last one back.
 */
final class LogRun extends BroadcastRun {

    private record Message(int sender, int[] past, double wished) {}

    private final List<TreeMap<Integer, Message>> mHeld = new ArrayList<>();
    private final List<Deque<Double>> mWishes = new ArrayList<>();
    private final int[] mNext;
    private int mOffset;

    LogRun(ClockSetup setup) {
        super(setup);
        mNext = new int[setup.processes()];
        for (int i = 0; i < setup.processes(); i++) {
            mHeld.add(new TreeMap<>());
            mWishes.add(new ArrayDeque<>());
        }
    }

    @Override
    void send(int process) {
        Deque<Double> wishes = mWishes.get(process);
        wishes.add(mQueue.now());
        if (wishes.size() == 1) {
            append(process);
        }
    }

    private void append(int process) {
        Message message =
                new Message(process, mHistories.get(process).send(), mWishes.get(process).peek());
        mQueue.afterDelay(() -> land(message));
    }

    private void land(Message message) {
        int offset = mOffset++;
        addBytes(CodedOutputStream.computeUInt32SizeNoTag(offset));
        for (int i = 0; i < mSetup.processes(); i++) {
            int receiver = i;
            mQueue.afterDelay(() -> receive(receiver, offset, message));
        }
    }

    private void receive(int process, int offset, Message message) {
        TreeMap<Integer, Message> held = mHeld.get(process);
        held.put(offset, message);
        while (held.containsKey(mNext[process])) {
            deliver(process, held.remove(mNext[process]));
            mNext[process]++;
        }
    }

    private void deliver(int process, Message message) {
        if (message.sender() != process) {
            double latency = mQueue.now() - message.wished();
            mHistories.get(process).deliver(message.sender(), message.past(), latency);
            return;
        }
        mWishes.get(process).remove();
        if (!mWishes.get(process).isEmpty()) {
            append(process);
        }
    }

    @Override
    long undelivered() {
        return mHeld.stream().mapToLong(TreeMap::size).sum();
    }
}
