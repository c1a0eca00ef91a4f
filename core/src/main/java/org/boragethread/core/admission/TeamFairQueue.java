package org.boragethread.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.boragethread.model.team.TeamId;

/**
 * Queued calls of one priority, ordered by start-time fair queuing among teams: each admitted call
 * advances its team's virtual time by the inverse of the team's weight, and the team with the
 * smallest virtual time is served next. A team that had no queued calls starts at the current
 * virtual time, so that it neither accumulates credit while idle nor is charged for capacity that
 * no other team wanted.
 */
final class TeamFairQueue {

    private final Map<TeamId, TeamQueue> mTeams = new HashMap<>();
    private final TreeSet<TeamQueue> mActive =
            new TreeSet<>(
                    Comparator.comparingDouble((TeamQueue team) -> team.mVirtualTime)
                            .thenComparing(team -> team.mId));
    private double mVirtualTime;
    private int mSize;

    int size() {
        return mSize;
    }

    void add(QueuedCall call) {
        TeamId id = call.request().team();
        TeamQueue team = mTeams.computeIfAbsent(id, TeamQueue::new);
        if (team.mCalls.isEmpty()) {
            team.mVirtualTime = Math.max(team.mVirtualTime, mVirtualTime);
            mActive.add(team);
        }
        team.mWeight = Math.max(1, call.request().weight());
        team.mCalls.add(call);
        mSize++;
    }

    Optional<QueuedCall> peek() {
        return mActive.isEmpty() ? Optional.empty() : Optional.of(mActive.first().mCalls.first());
    }

    Optional<QueuedCall> poll() {
        TeamQueue team = mActive.pollFirst();
        if (team == null) {
            return Optional.empty();
        }
        QueuedCall call = team.mCalls.pollFirst();
        mSize--;
        mVirtualTime = team.mVirtualTime;
        team.mVirtualTime += 1.0 / team.mWeight;
        if (!team.mCalls.isEmpty()) {
            mActive.add(team);
        }
        evictIdleTeams();
        return Optional.of(call);
    }

    boolean remove(QueuedCall call) {
        TeamQueue team = mTeams.get(call.request().team());
        if (team == null || !team.mCalls.remove(call)) {
            return false;
        }
        mSize--;
        if (team.mCalls.isEmpty()) {
            mActive.remove(team);
            evictIdleTeams();
        }
        return true;
    }

    /**
     * Returns the call to displace in favour of an arriving call of this priority, or empty if the
     * arriving call is to be refused.
     */
    Optional<QueuedCall> displacedBy(AdmissionRequest arriving) {
        if (mActive.isEmpty()) {
            return Optional.empty();
        }
        TeamQueue largestBacklog = largestBacklog();
        TeamQueue own = mTeams.get(arriving.team());
        int ownSize = own == null ? 0 : own.mCalls.size();
        double ownBacklog = (ownSize + 1.0) / Math.max(1, arriving.weight());
        if (largestBacklog != own && largestBacklog.backlog() > ownBacklog) {
            return Optional.of(largestBacklog.mCalls.last());
        }
        if (ownSize > 0 && own.mCalls.last().request().deadlineNanos() > arriving.deadlineNanos()) {
            return Optional.of(own.mCalls.last());
        }
        return Optional.empty();
    }

    /** Returns the call with the latest deadline of the team with the largest backlog. */
    Optional<QueuedCall> lastOfLargestBacklog() {
        return mActive.isEmpty() ? Optional.empty() : Optional.of(largestBacklog().mCalls.last());
    }

    /** Returns an estimate of how many queued calls would be admitted before an arriving call. */
    int countAhead(AdmissionRequest arriving) {
        TeamQueue own = mTeams.get(arriving.team());
        int ownAhead = own == null ? 0 : own.countDueBy(arriving.deadlineNanos());
        double weight = Math.max(1, arriving.weight());
        double ahead = ownAhead;
        for (TeamQueue team : mActive) {
            if (team != own) {
                ahead += Math.min(team.mCalls.size(), ownAhead * team.mWeight / weight);
            }
        }
        return (int) ahead;
    }

    List<QueuedCall> drain() {
        List<QueuedCall> all = new ArrayList<>();
        mActive.forEach(team -> all.addAll(team.mCalls));
        mTeams.clear();
        mActive.clear();
        mVirtualTime = 0;
        mSize = 0;
        return all;
    }

    private TeamQueue largestBacklog() {
        TeamQueue largestBacklog = mActive.first();
        for (TeamQueue team : mActive) {
            if (team.backlog() > largestBacklog.backlog()) {
                largestBacklog = team;
            }
        }
        return largestBacklog;
    }

    /**
     * Removes teams without queued calls whose virtual time has passed, which bounds memory use.
     */
    private void evictIdleTeams() {
        if (mTeams.size() <= 2 * mActive.size()) {
            return;
        }
        if (mActive.isEmpty()) {
            mTeams.clear();
            mVirtualTime = 0;
            return;
        }
        mTeams.values()
                .removeIf(team -> team.mCalls.isEmpty() && team.mVirtualTime <= mVirtualTime);
    }

    /** Queued calls of one team. */
    private static final class TeamQueue {
        private final TeamId mId;
        private final TreeSet<QueuedCall> mCalls = new TreeSet<>(QueuedCall.BY_DEADLINE);
        private int mWeight = 1;
        private double mVirtualTime;

        TeamQueue(TeamId id) {
            mId = id;
        }

        double backlog() {
            return mCalls.size() / (double) mWeight;
        }

        int countDueBy(long deadlineNanos) {
            int count = 0;
            for (QueuedCall call : mCalls) {
                if (call.request().deadlineNanos() > deadlineNanos) {
                    return count;
                }
                count++;
            }
            return count;
        }
    }
}
