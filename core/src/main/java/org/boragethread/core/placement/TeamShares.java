package org.boragethread.core.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.boragethread.core.fairness.EvenShares;

/**
 * Waiting requests of one priority that are all in time or all late, by team, and the work that
 * each team was given while there was a queue. Not thread-safe.
 */
final class TeamShares {

    private static final Comparator<WaitingRequest> BY_LATEST_START =
            Comparator.comparingLong(WaitingRequest::latestStart)
                    .thenComparingLong(WaitingRequest::sequence);

    private final Map<String, TreeSet<WaitingRequest>> mWaiting = new HashMap<>();
    private final EvenShares mShares = new EvenShares();
    private final Map<String, Double> mMillis = new HashMap<>();

    boolean isEmpty() {
        return mWaiting.isEmpty();
    }

    /** Adds a request. */
    void add(WaitingRequest waiting) {
        String team = waiting.request().team();
        if (!mWaiting.containsKey(team)) {
            mShares.join(team);
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
            mShares.leave(team);
        }
        return true;
    }

    /** Records that a request of a team was placed. */
    void charge(WaitingRequest waiting) {
        mShares.add(waiting.request().team(), waiting.workMillis());
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
        if (ordered.size() < maxSize) {
            ordered.addAll(
                    mShares.arrange(
                            mWaiting,
                            WaitingRequest::workMillis,
                            BY_LATEST_START,
                            maxSize - ordered.size()));
        }
    }
}
