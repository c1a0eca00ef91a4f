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
 * Waiting calls of one priority, taken in weighted shares of the teams by start-time fair queuing:
 * each call moves its team's virtual time by one over the team's weight, and the team with the
 * smallest virtual time is next. A team that had no calls waiting starts at the present virtual
 * time, so that it neither saves up shares nor pays for capacity that nobody else wanted.
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
        forgetPastTeams();
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
            forgetPastTeams();
        }
        return true;
    }

    /** Returns the call that must leave for a newcomer of this priority, if not the newcomer. */
    Optional<QueuedCall> displacedBy(AdmissionRequest newcomer) {
        if (mActive.isEmpty()) {
            return Optional.empty();
        }
        TeamQueue longest = longest();
        TeamQueue own = mTeams.get(newcomer.team());
        int ownSize = own == null ? 0 : own.mCalls.size();
        double ownBacklog = (ownSize + 1.0) / Math.max(1, newcomer.weight());
        if (longest != own && longest.backlog() > ownBacklog) {
            return Optional.of(longest.mCalls.last());
        }
        if (ownSize > 0 && own.mCalls.last().request().deadlineNanos() > newcomer.deadlineNanos()) {
            return Optional.of(own.mCalls.last());
        }
        return Optional.empty();
    }

    /** Returns the call with the latest deadline of the team with the longest queue. */
    Optional<QueuedCall> lastOfLongestQueue() {
        return mActive.isEmpty() ? Optional.empty() : Optional.of(longest().mCalls.last());
    }

    /** Returns about how many waiting calls would be admitted before a newcomer. */
    int countAhead(AdmissionRequest newcomer) {
        TeamQueue own = mTeams.get(newcomer.team());
        int earlier = own == null ? 0 : own.countEarlier(newcomer.deadlineNanos());
        double share = Math.max(1, newcomer.weight());
        double ahead = earlier;
        for (TeamQueue team : mActive) {
            if (team != own) {
                ahead += Math.min(team.mCalls.size(), earlier * team.mWeight / share);
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

    private TeamQueue longest() {
        TeamQueue longest = mActive.first();
        for (TeamQueue team : mActive) {
            if (team.backlog() > longest.backlog()) {
                longest = team;
            }
        }
        return longest;
    }

    /** Drops teams without waiting calls whose virtual time has passed, which bounds memory. */
    private void forgetPastTeams() {
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

    /** Waiting calls of one team. */
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

        int countEarlier(long deadlineNanos) {
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
