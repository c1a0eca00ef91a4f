package org.boragethread.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Waiting requests of one priority that are all in time or all late, by team, and the work that
 * each team was given while there was a queue. Not thread-safe.
 */
final class TeamShares {

    private static final Comparator<WaitingRequest> BY_LATEST_START =
            Comparator.comparingLong(WaitingRequest::latestStart)
                    .thenComparingLong(WaitingRequest::sequence);

    private final Map<String, TreeSet<WaitingRequest>> mWaiting = new HashMap<>();
    private final Map<String, Double> mGiven = new HashMap<>();
    private final Map<String, Double> mMillis = new HashMap<>();

    boolean isEmpty() {
        return mWaiting.isEmpty();
    }

    /** Adds a request. A team that had none waiting gets no credit for that time. */
    void add(WaitingRequest waiting) {
        String team = waiting.request().team();
        if (!mWaiting.containsKey(team)) {
            double least = mWaiting.keySet().stream().mapToDouble(mGiven::get).min().orElse(0);
            mGiven.merge(team, least, Math::max);
            mWaiting.put(team, new TreeSet<>(BY_LATEST_START));
        }
        mWaiting.get(team).add(waiting);
        mMillis.merge(team, waiting.workMillis(), Double::sum);
    }

    boolean remove(WaitingRequest waiting) {
        String team = waiting.request().team();
        TreeSet<WaitingRequest> requests = mWaiting.get(team);
        if (requests == null || !requests.remove(waiting)) {
            return false;
        }
        mMillis.merge(team, -waiting.workMillis(), Double::sum);
        if (requests.isEmpty()) {
            mWaiting.remove(team);
            mMillis.remove(team);
        }
        if (mWaiting.isEmpty()) {
            mGiven.clear();
        }
        return true;
    }

    /** Records that a request of a team was placed. */
    void charge(WaitingRequest waiting) {
        mGiven.merge(waiting.request().team(), waiting.workMillis(), Double::sum);
    }

    /** Returns the work of all requests, in milliseconds. */
    double millis() {
        double millis = 0;
        for (double team : mMillis.values()) {
            millis += team;
        }
        return millis;
    }

    /** Returns the work that is placed before a request, in milliseconds. */
    double millisBefore(WaitingRequest waiting) {
        String team = waiting.request().team();
        double own = 0;
        if (mWaiting.containsKey(team)) {
            for (WaitingRequest other : mWaiting.get(team).headSet(waiting)) {
                own += other.workMillis();
            }
        }
        double millis = own;
        for (Map.Entry<String, Double> other : mMillis.entrySet()) {
            if (!other.getKey().equals(team)) {
                millis += Math.min(other.getValue(), own + waiting.workMillis());
            }
        }
        return millis;
    }

    /** Adds requests to a list in the order in which they would be placed, up to a size. */
    void addInOrder(List<WaitingRequest> ordered, int maxSize) {
        List<Turn> turns = new ArrayList<>();
        mWaiting.forEach((team, waiting) -> turns.add(new Turn(waiting, mGiven.get(team))));
        while (ordered.size() < maxSize && !turns.isEmpty()) {
            Turn next = turns.get(0);
            for (Turn turn : turns) {
                if (turn.precedes(next)) {
                    next = turn;
                }
            }
            ordered.add(next.take());
            if (next.isDone()) {
                turns.remove(next);
            }
        }
    }

    /** The requests of one team in an order that is being listed. */
    private static final class Turn {
        private final Iterator<WaitingRequest> mRequests;
        private WaitingRequest mNext;
        private double mGiven;

        Turn(TreeSet<WaitingRequest> requests, double given) {
            mRequests = requests.iterator();
            mNext = mRequests.next();
            mGiven = given;
        }

        boolean precedes(Turn other) {
            return mGiven < other.mGiven
                    || mGiven == other.mGiven && BY_LATEST_START.compare(mNext, other.mNext) < 0;
        }

        WaitingRequest take() {
            WaitingRequest taken = mNext;
            mGiven += taken.workMillis();
            mNext = mRequests.hasNext() ? mRequests.next() : null;
            return taken;
        }

        boolean isDone() {
            return mNext == null;
        }
    }
}
