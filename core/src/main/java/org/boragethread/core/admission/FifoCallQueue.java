package org.boragethread.core.admission;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import org.boragethread.model.team.Priority;

/** Baseline queue: order of arrival, whatever the priority, team and deadline. */
final class FifoCallQueue implements CallQueue {

    private final LinkedHashSet<WaitingCall> mCalls = new LinkedHashSet<>();

    @Override
    public void add(WaitingCall call) {
        mCalls.add(call);
    }

    @Override
    public Optional<WaitingCall> peek() {
        return mCalls.stream().findFirst();
    }

    @Override
    public Optional<WaitingCall> poll() {
        Optional<WaitingCall> first = peek();
        first.ifPresent(mCalls::remove);
        return first;
    }

    @Override
    public boolean remove(WaitingCall call) {
        return mCalls.remove(call);
    }

    @Override
    public Optional<WaitingCall> displacedBy(GateRequest newcomer) {
        return Optional.empty();
    }

    @Override
    public int ahead(GateRequest newcomer) {
        return mCalls.size();
    }

    @Override
    public int size(Priority priority) {
        return (int) mCalls.stream().filter(c -> c.request().priority() == priority).count();
    }

    @Override
    public int size() {
        return mCalls.size();
    }

    @Override
    public List<WaitingCall> drain() {
        List<WaitingCall> all = new ArrayList<>(mCalls);
        mCalls.clear();
        return all;
    }
}
