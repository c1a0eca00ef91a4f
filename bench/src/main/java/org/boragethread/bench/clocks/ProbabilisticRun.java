package org.boragethread.bench.clocks;

import com.google.protobuf.CodedOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Simulates messages sent directly between processes and ordered by probabilistic causal clocks.
 */
final class ProbabilisticRun extends BroadcastRun {

    private record Message(int sender, int[] clock, int[] vectorClock, double sentAt) {}

    private final int[][] mAssignedEntries;
    private final int[][] mClocks;
    private final List<List<Message>> mWaiting = new ArrayList<>();

    ProbabilisticRun(ClockSetup setup) {
        super(setup);
        SplittableRandom random = new SplittableRandom(setup.seed() + 1);
        mAssignedEntries = new int[setup.processes()][];
        mClocks = new int[setup.processes()][setup.entries()];
        for (int i = 0; i < setup.processes(); i++) {
            mAssignedEntries[i] =
                    random.ints(0, setup.entries()).distinct().limit(setup.increments()).toArray();
            mWaiting.add(new ArrayList<>());
        }
    }

    @Override
    void send(int process) {
        increment(process, process);
        int[] clock = mClocks[process].clone();
        Message message = new Message(process, clock, mTrackers.get(process).send(), mQueue.now());
        for (int value : clock) {
            addBytes(CodedOutputStream.computeUInt32SizeNoTag(value));
        }
        for (int i = 0; i < mSetup.processes(); i++) {
            int receiver = i;
            if (receiver != process) {
                mQueue.afterDelay(() -> receive(receiver, message));
            }
        }
    }

    private void receive(int process, Message message) {
        List<Message> waiting = mWaiting.get(process);
        waiting.add(message);
        Optional<Message> ready = Optional.of(message).filter(m -> isReady(process, m));
        while (ready.isPresent()) {
            waiting.remove(ready.get());
            deliver(process, ready.get());
            ready = waiting.stream().filter(m -> isReady(process, m)).findFirst();
        }
    }

    private boolean isReady(int process, Message message) {
        int[] needed = message.clock().clone();
        for (int entry : mAssignedEntries[message.sender()]) {
            needed[entry]--;
        }
        for (int i = 0; i < needed.length; i++) {
            if (mClocks[process][i] < needed[i]) {
                return false;
            }
        }
        return true;
    }

    private void deliver(int process, Message message) {
        double latency = mQueue.now() - message.sentAt();
        mTrackers.get(process).deliver(message.sender(), message.vectorClock(), latency);
        increment(process, message.sender());
    }

    private void increment(int process, int sender) {
        for (int entry : mAssignedEntries[sender]) {
            mClocks[process][entry]++;
        }
    }

    @Override
    long undelivered() {
        return mWaiting.stream().mapToLong(List::size).sum();
    }
}
