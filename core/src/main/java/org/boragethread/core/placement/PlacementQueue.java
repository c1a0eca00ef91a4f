package org.boragethread.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Requests that wait for an engine, in the order in which they are placed: those that can meet
 * their target before late ones, then by priority, then equal shares for teams, then by latest
 * start. At least one of eight placements goes to the request that has waited longest, so that none
 * starves. Not thread-safe.
 */
final class PlacementQueue {

    /** Of this many placements while there is a queue, one goes to the longest waiting request. */
    static final int TURN_INTERVAL = 8;

    /** Oldest requests that are looked at for the turn. */
    private static final int MAX_OLDEST = 8;

    private final Map<PlacementKey, WaitingRequest> mByKey = new LinkedHashMap<>();
    private final TreeMap<Integer, TeamShares> mInTime = new TreeMap<>();
    private final TreeMap<Integer, TeamShares> mLate = new TreeMap<>();

    /** Those in time, by the time at which they become late. */
    private final TreeSet<WaitingRequest> mByLatestStart =
            new TreeSet<>(
                    Comparator.comparingLong(WaitingRequest::latestStart)
                            .thenComparingLong(WaitingRequest::sequence));

    private final TreeSet<WaitingRequest> mByLastStart =
            new TreeSet<>(
                    Comparator.comparingLong(WaitingRequest::lastStart)
                            .thenComparingLong(WaitingRequest::sequence));

    private int mPlacementsSinceTurn;

    void add(WaitingRequest waiting, long now) {
        mByKey.put(waiting.request().key(), waiting);
        mByLastStart.add(waiting);
        if (waiting.isLate(now)) {
            shares(mLate, waiting).add(waiting);
        } else {
            mByLatestStart.add(waiting);
            shares(mInTime, waiting).add(waiting);
        }
    }

    Optional<WaitingRequest> find(PlacementKey key) {
        return Optional.ofNullable(mByKey.get(key));
    }

    Optional<WaitingRequest> remove(PlacementKey key) {
        WaitingRequest waiting = mByKey.remove(key);
        if (waiting == null) {
            return Optional.empty();
        }
        mByLastStart.remove(waiting);
        if (mByLatestStart.remove(waiting)) {
            removeFrom(mInTime, waiting);
        } else {
            removeFrom(mLate, waiting);
        }
        if (mByKey.isEmpty()) {
            mPlacementsSinceTurn = 0;
        }
        return Optional.of(waiting);
    }

    /**
     * Removes a request that is placed, and charges its team.
     *
     * @param isTurn whether it had the turn of the oldest
     */
    void removePlaced(WaitingRequest waiting, boolean isTurn) {
        boolean isOldest = oldest().filter(oldest -> oldest == waiting).isPresent();
        mPlacementsSinceTurn = isTurn || isOldest ? 0 : mPlacementsSinceTurn + 1;
        shares(mByLatestStart.contains(waiting) ? mInTime : mLate, waiting).charge(waiting);
        remove(waiting.request().key());
    }

    /** Returns whether the next placement belongs to the request that has waited longest. */
    boolean isTurnOfOldest() {
        return mPlacementsSinceTurn >= TURN_INTERVAL - 1;
    }

    Optional<WaitingRequest> oldest() {
        return mByKey.isEmpty() ? Optional.empty() : Optional.of(mByKey.values().iterator().next());
    }

    /**
     * Returns the request to which the next placement belongs, if it is the turn of the oldest: the
     * one that has waited longest of those that can be served at all.
     */
    Optional<WaitingRequest> turn(Predicate<WaitingRequest> isServable) {
        return isTurnOfOldest()
                ? mByKey.values().stream().limit(MAX_OLDEST).filter(isServable).findFirst()
                : Optional.empty();
    }

    /**
     * Returns the first requests in order, up to a number.
     *
     * @param turn request that comes first, because it is its turn
     */
    List<WaitingRequest> inOrder(long now, int maxSize, Optional<WaitingRequest> turn) {
        deferLate(now);
        List<WaitingRequest> ordered = new ArrayList<>();
        turn.ifPresent(ordered::add);
        for (TeamShares shares : mInTime.values()) {
            shares.addInOrder(ordered, maxSize);
        }
        for (TeamShares shares : mLate.values()) {
            shares.addInOrder(ordered, maxSize);
        }
        return ordered;
    }

    /** Moves the requests that can no longer meet their target behind the others. */
    private void deferLate(long now) {
        while (!mByLatestStart.isEmpty() && mByLatestStart.first().isLate(now)) {
            WaitingRequest late = mByLatestStart.pollFirst();
            removeFrom(mInTime, late);
            shares(mLate, late).add(late);
        }
    }

    /** Returns the request that can no longer meet its deadline for the longest time, if any. */
    Optional<WaitingRequest> firstExpired(long now) {
        return mByLastStart.isEmpty() || mByLastStart.first().lastStart() > now
                ? Optional.empty()
                : Optional.of(mByLastStart.first());
    }

    OptionalLong nextExpiry() {
        return mByLastStart.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(mByLastStart.first().lastStart());
    }

    /**
     * Returns the work that is placed before a request if no other one arrives, in milliseconds.
     *
     * @param late whether the request will be late when its turn comes
     */
    double millisAhead(WaitingRequest waiting, boolean late, long now) {
        deferLate(now);
        int priority = waiting.request().priority();
        if (!late) {
            return millisBefore(mInTime, priority, waiting);
        }
        double inTime = 0;
        for (TeamShares shares : mInTime.values()) {
            inTime += shares.millis();
        }
        return inTime + millisBefore(mLate, priority, waiting);
    }

    private static double millisBefore(
            TreeMap<Integer, TeamShares> lane, int priority, WaitingRequest waiting) {
        double millis = 0;
        for (TeamShares shares : lane.headMap(priority).values()) {
            millis += shares.millis();
        }
        TeamShares own = lane.get(priority);
        return own == null ? millis : millis + own.millisBefore(waiting);
    }

    /** Returns the mean work of a waiting request, in milliseconds. */
    double meanMillis() {
        double millis = 0;
        for (TeamShares shares : mInTime.values()) {
            millis += shares.millis();
        }
        for (TeamShares shares : mLate.values()) {
            millis += shares.millis();
        }
        return mByKey.isEmpty() ? 0 : millis / mByKey.size();
    }

    Collection<WaitingRequest> all() {
        return mByKey.values();
    }

    int size() {
        return mByKey.size();
    }

    private static TeamShares shares(Map<Integer, TeamShares> lane, WaitingRequest waiting) {
        return lane.computeIfAbsent(waiting.request().priority(), key -> new TeamShares());
    }

    private static void removeFrom(Map<Integer, TeamShares> lane, WaitingRequest waiting) {
        TeamShares shares = shares(lane, waiting);
        shares.remove(waiting);
        if (shares.isEmpty()) {
            lane.remove(waiting.request().priority());
        }
    }
}
