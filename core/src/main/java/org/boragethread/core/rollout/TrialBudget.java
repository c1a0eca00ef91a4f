package org.boragethread.core.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the sends of one entry to a version on trial by a share of the first attempts that the
 * same entry has sent. As this holds at each entry by itself, it holds for the sum over all of
 * them, whatever their number and whichever of them restart. Not thread-safe.
 */
final class TrialBudget {

    /** Trials of a route that are made before its share requires them; fewer are no evidence. */
    private static final int EARLY_TRIALS = 5;

    private final double mShare;
    private final Map<String, RouteUse> mRoutes = new HashMap<>();
    private long mFirstAttempts;
    private long mUsed;

    /**
     * Creates a budget without first attempts.
     *
     * @param share greatest number of sends to the version per first attempt
     */
    TrialBudget(double share) {
        mShare = share;
    }

    /** Returns whether the next first attempt of a route is a trial. */
    boolean isDue(String route) {
        RouteUse use = use(route);
        boolean isInTurn =
                use.mTrials < EARLY_TRIALS || use.mTrials + 1 <= mShare * (use.mFirstAttempts + 1);
        return isInTurn && isAvailable(1);
    }

    /** Returns whether a further attempt may go to the version on trial. */
    boolean isFurtherAvailable() {
        return isAvailable(0);
    }

    /** Counts a first attempt to any version but the one on trial. */
    void onFirstAttempt(String route) {
        mFirstAttempts++;
        use(route).mFirstAttempts++;
    }

    /** Counts a send to the version on trial, unless it would exceed the budget. */
    boolean tryUse(String route, SendKind kind) {
        boolean isFirst = kind == SendKind.FIRST;
        if (!isAvailable(isFirst ? 1 : 0)) {
            return false;
        }
        if (isFirst) {
            onFirstAttempt(route);
            use(route).mTrials++;
        }
        mUsed++;
        return true;
    }

    private boolean isAvailable(int newAttempts) {
        return mUsed + 1 <= Math.floor(mShare * (mFirstAttempts + newAttempts));
    }

    private RouteUse use(String route) {
        return mRoutes.computeIfAbsent(route, key -> new RouteUse());
    }

    private static final class RouteUse {
        private long mFirstAttempts;
        private long mTrials;
    }
}
