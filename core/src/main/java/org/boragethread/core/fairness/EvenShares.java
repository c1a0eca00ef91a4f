package org.boragethread.core.fairness;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * Divides work evenly among the teams that have items waiting, by the work that each was given
 * while any team had. Not thread-safe.
 */
public final class EvenShares {

    private final Map<String, Double> mGiven = new HashMap<>();
    private final Set<String> mWaiting = new HashSet<>();

    /**
     * Adds a team that has items waiting. It starts at the lowest share of the others, since it
     * needed nothing before, but keeps a higher share that it was given: otherwise a team that
     * always has few items waiting would get more than its share.
     */
    public void join(String team) {
        if (!mWaiting.contains(team)) {
            double least = mWaiting.stream().mapToDouble(this::given).min().orElse(0);
            mGiven.merge(team, least, Math::max);
            mWaiting.add(team);
        }
    }

    /** Removes a team that has no items waiting any more. All shares end with the last team. */
    public void leave(String team) {
        mWaiting.remove(team);
        if (mWaiting.isEmpty()) {
            mGiven.clear();
        }
    }

    /** Sets the teams that have items waiting. */
    public void setWaiting(Set<String> teams) {
        List<String> gone = new ArrayList<>(mWaiting);
        gone.removeAll(teams);
        gone.forEach(this::leave);
        teams.forEach(this::join);
    }

    /** Returns a copy of these shares in which the given teams have items waiting. */
    public EvenShares withWaiting(Set<String> teams) {
        EvenShares copy = new EvenShares();
        copy.mGiven.putAll(mGiven);
        copy.mWaiting.addAll(mWaiting);
        copy.setWaiting(teams);
        return copy;
    }

    /** Counts work that a team was given. */
    public void add(String team, double work) {
        mGiven.merge(team, work, Double::sum);
    }

    private double given(String team) {
        return mGiven.getOrDefault(team, 0.0);
    }

    /**
     * Returns items so that the team that was given least comes next. The items of one team keep
     * their order.
     *
     * @param <T> type of the items
     * @param items items of each team in order, at least one
     * @param work returns the work of an item
     * @param order decides by their next items which of two teams with the same share comes first
     * @param maxSize maximum number of items that are returned
     */
    public <T> List<T> arrange(
            Map<String, ? extends Iterable<T>> items,
            ToDoubleFunction<T> work,
            Comparator<T> order,
            int maxSize) {
        PriorityQueue<Turn<T>> turns =
                new PriorityQueue<>(
                        Comparator.comparingDouble((Turn<T> turn) -> turn.mGiven)
                                .thenComparing(turn -> turn.mNext, order)
                                .thenComparingInt(turn -> turn.mRank));
        items.forEach(
                (team, own) -> turns.add(new Turn<>(own.iterator(), given(team), turns.size())));
        List<T> arranged = new ArrayList<>();
        while (arranged.size() < maxSize && !turns.isEmpty()) {
            Turn<T> turn = turns.poll();
            arranged.add(turn.mNext);
            turn.mGiven += work.applyAsDouble(turn.mNext);
            if (turn.mItems.hasNext()) {
                turn.mNext = turn.mItems.next();
                turns.add(turn);
            }
        }
        return arranged;
    }

    /** The items of one team that are not arranged yet. */
    private static final class Turn<T> {

        private final Iterator<T> mItems;
        private final int mRank;
        private T mNext;
        private double mGiven;

        Turn(Iterator<T> items, double given, int rank) {
            mItems = items;
            mNext = items.next();
            mGiven = given;
            mRank = rank;
        }
    }
}
