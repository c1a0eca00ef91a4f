package org.boragethread.core.admission;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.boragethread.model.team.Priority;

/** Queue by priority, then by weighted shares of the teams, then by earliest deadline. */
final class FairCallQueue implements CallQueue {

    private final Map<Priority, TeamShares> mShares = new EnumMap<>(Priority.class);

    FairCallQueue() {
        for (Priority priority : Priority.values()) {
            mShares.put(priority, new TeamShares());
        }
    }

    @Override
    public void add(WaitingCall call) {
        mShares.get(call.request().priority()).add(call);
    }

    @Override
    public Optional<WaitingCall> peek() {
        for (TeamShares shares : mShares.values()) {
            if (shares.size() > 0) {
                return shares.peek();
            }
        }
        return Optional.empty();
    }

    @Override
    public Optional<WaitingCall> poll() {
        for (TeamShares shares : mShares.values()) {
            if (shares.size() > 0) {
                return shares.poll();
            }
        }
        return Optional.empty();
    }

    @Override
    public boolean remove(WaitingCall call) {
        return mShares.get(call.request().priority()).remove(call);
    }

    @Override
    public Optional<WaitingCall> displacedBy(GateRequest newcomer) {
        Priority[] priorities = Priority.values();
        for (int i = priorities.length - 1; i > newcomer.priority().ordinal(); i--) {
            TeamShares lower = mShares.get(priorities[i]);
            if (lower.size() > 0) {
                return lower.lastOfLongest();
            }
        }
        return mShares.get(newcomer.priority()).displacedBy(newcomer);
    }

    @Override
    public int ahead(GateRequest newcomer) {
        int ahead = 0;
        for (Map.Entry<Priority, TeamShares> entry : mShares.entrySet()) {
            if (entry.getKey() == newcomer.priority()) {
                return ahead + entry.getValue().ahead(newcomer);
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
        for (TeamShares shares : mShares.values()) {
            size += shares.size();
        }
        return size;
    }

    @Override
    public List<WaitingCall> drain() {
        List<WaitingCall> all = new ArrayList<>();
        mShares.values().forEach(shares -> all.addAll(shares.drain()));
        return all;
    }
}
