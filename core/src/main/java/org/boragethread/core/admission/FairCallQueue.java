package org.boragethread.core.admission;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.boragethread.model.team.Priority;

/**
 * Orders calls by priority, then by weighted fair queuing among teams, then by earliest deadline.
 */
final class FairCallQueue implements CallQueue {

    private final Map<Priority, TeamFairQueue> mQueues = new EnumMap<>(Priority.class);

    FairCallQueue() {
        for (Priority priority : Priority.values()) {
            mQueues.put(priority, new TeamFairQueue());
        }
    }

    @Override
    public void add(QueuedCall call) {
        mQueues.get(call.request().priority()).add(call);
    }

    @Override
    public Optional<QueuedCall> peek() {
        for (TeamFairQueue teams : mQueues.values()) {
            if (teams.size() > 0) {
                return teams.peek();
            }
        }
        return Optional.empty();
    }

    @Override
    public Optional<QueuedCall> poll() {
        for (TeamFairQueue teams : mQueues.values()) {
            if (teams.size() > 0) {
                return teams.poll();
            }
        }
        return Optional.empty();
    }

    @Override
    public boolean remove(QueuedCall call) {
        return mQueues.get(call.request().priority()).remove(call);
    }

    @Override
    public Optional<QueuedCall> displacedBy(AdmissionRequest arriving) {
        Priority[] priorities = Priority.values();
        for (int i = priorities.length - 1; i > arriving.priority().ordinal(); i--) {
            TeamFairQueue lower = mQueues.get(priorities[i]);
            if (lower.size() > 0) {
                return lower.lastOfLargestBacklog();
            }
        }
        return mQueues.get(arriving.priority()).displacedBy(arriving);
    }

    @Override
    public int countAhead(AdmissionRequest arriving) {
        int ahead = 0;
        for (Map.Entry<Priority, TeamFairQueue> entry : mQueues.entrySet()) {
            if (entry.getKey() == arriving.priority()) {
                return ahead + entry.getValue().countAhead(arriving);
            }
            ahead += entry.getValue().size();
        }
        return ahead;
    }

    @Override
    public int size(Priority priority) {
        return mQueues.get(priority).size();
    }

    @Override
    public int size() {
        int size = 0;
        for (TeamFairQueue teams : mQueues.values()) {
            size += teams.size();
        }
        return size;
    }

    @Override
    public List<QueuedCall> drain() {
        List<QueuedCall> all = new ArrayList<>();
        mQueues.values().forEach(teams -> all.addAll(teams.drain()));
        return all;
    }
}
