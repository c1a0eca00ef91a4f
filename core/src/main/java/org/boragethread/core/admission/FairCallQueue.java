package org.boragethread.core.admission;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.boragethread.model.team.Priority;

/** Queue by priority, then by weighted shares of the teams, then by earliest deadline. */
final class FairCallQueue implements CallQueue {

    private final Map<Priority, TeamFairQueue> mShares = new EnumMap<>(Priority.class);

    FairCallQueue() {
        for (Priority priority : Priority.values()) {
            mShares.put(priority, new TeamFairQueue());
        }
    }

    @Override
    public void add(QueuedCall call) {
        mShares.get(call.request().priority()).add(call);
    }

    @Override
    public Optional<QueuedCall> peek() {
        for (TeamFairQueue shares : mShares.values()) {
            if (shares.size() > 0) {
                return shares.peek();
            }
        }
        return Optional.empty();
    }

    @Override
    public Optional<QueuedCall> poll() {
        for (TeamFairQueue shares : mShares.values()) {
            if (shares.size() > 0) {
                return shares.poll();
            }
        }
        return Optional.empty();
    }

    @Override
    public boolean remove(QueuedCall call) {
        return mShares.get(call.request().priority()).remove(call);
    }

    @Override
    public Optional<QueuedCall> displacedBy(AdmissionRequest newcomer) {
        Priority[] priorities = Priority.values();
        for (int i = priorities.length - 1; i > newcomer.priority().ordinal(); i--) {
            TeamFairQueue lower = mShares.get(priorities[i]);
            if (lower.size() > 0) {
                return lower.lastOfLongestQueue();
            }
        }
        return mShares.get(newcomer.priority()).displacedBy(newcomer);
    }

    @Override
    public int countAhead(AdmissionRequest newcomer) {
        int ahead = 0;
        for (Map.Entry<Priority, TeamFairQueue> entry : mShares.entrySet()) {
            if (entry.getKey() == newcomer.priority()) {
                return ahead + entry.getValue().countAhead(newcomer);
            }
            ahead += entry.getValue().size();
        }
        return ahead;
    }

    @Override
    public int size(Priority priority) {
        return mShares.get(priority).size();
    }

    @Override
    public int size() {
        int size = 0;
        for (TeamFairQueue shares : mShares.values()) {
            size += shares.size();
        }
        return size;
    }

    @Override
    public List<QueuedCall> drain() {
        List<QueuedCall> all = new ArrayList<>();
        mShares.values().forEach(shares -> all.addAll(shares.drain()));
        return all;
    }
}
