package org.boragethread.core.admission;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import org.boragethread.model.team.Priority;

/** Baseline for comparison: orders calls by arrival only, ignoring priority, team and deadline. */
final class FifoCallQueue implements CallQueue {

    private final LinkedHashSet<QueuedCall> mCalls = new LinkedHashSet<>();

    @Override
    public void add(QueuedCall call) {
        mCalls.add(call);
    }

    @Override
    public Optional<QueuedCall> peek() {
        return mCalls.stream().findFirst();
    }

    @Override
    public Optional<QueuedCall> poll() {
        Optional<QueuedCall> first = peek();
        first.ifPresent(mCalls::remove);
        return first;
    }

    @Override
    public boolean remove(QueuedCall call) {
        return mCalls.remove(call);
    }

    @Override
    public Optional<QueuedCall> displacedBy(AdmissionRequest arriving) {
        return Optional.empty();
    }

    @Override
    public int countAhead(AdmissionRequest arriving) {
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
    public List<QueuedCall> drain() {
        List<QueuedCall> all = new ArrayList<>(mCalls);
        mCalls.clear();
        return all;
    }
}
