package org.boragethread.core.placement;

import java.time.Duration;
import java.util.List;

/** Estimates how long a request will wait, from the queue and the load of the engines. */
final class WaitEstimate {

    /** Shortest time after which a refused request is worth another try. */
    private static final double MIN_RETRY_MILLIS = 100;

    /** Least rate of placements that is assumed, as a share of that of idle engines. */
    private static final double MIN_RATE_SHARE = 0.05;

    private static final double MAX_RETRY_MILLIS = Duration.ofSeconds(30).toMillis();

    private final EngineTable mEngines;
    private final PlacementQueue mQueue;
    private final PlacementRate mRate;

    WaitEstimate(EngineTable engines, PlacementQueue queue, PlacementRate rate) {
        mEngines = engines;
        mQueue = queue;
        mRate = rate;
    }

    /**
     * Returns the time until the request can be placed and its engine has finished earlier prompts,
     * in milliseconds. It is a lower bound if no engine becomes faster.
     */
    double waitMillis(WaitingRequest waiting, long now, double reportMillis) {
        List<EngineLoad> usable = mEngines.usable(waiting.request());
        boolean ignoreAvoidance = mEngines.areAllAvoided(waiting.request(), now);
        double shortest = Double.MAX_VALUE;
        for (EngineLoad engine : usable) {
            double wait = engine.remainingMillis(now, reportMillis);
            if (!ignoreAvoidance && engine.isAvoided(now)) {
                wait = Math.max(wait, (engine.avoidedUntil() - now) / 1e6);
            }
            shortest = Math.min(shortest, wait);
        }
        return Math.max(shortest, millisInQueue(waiting, now, usable.size()));
    }

    private double millisInQueue(WaitingRequest waiting, long now, int engines) {
        double rate = Math.max(MIN_RATE_SHARE * engines, mRate.get().orElse(engines));
        double wait = mQueue.millisAhead(waiting, waiting.isLate(now), now) / rate;
        if (now + wait * 1e6 > waiting.latestStart()) {
            wait = Math.max(wait, mQueue.millisAhead(waiting, true, now) / rate);
        }
        return Math.min(wait, millisUntilTurn(rate));
    }

    /** Returns the time until the newest request is the oldest and has its turn. */
    private double millisUntilTurn(double rate) {
        double mean = mQueue.meanMillis();
        return mQueue.size() * PlacementQueue.TURN_INTERVAL * mean / rate;
    }

    /** Returns the time after which such a request could be served if no other one arrived. */
    Duration retryAfter(WaitingRequest waiting, long now, double reportMillis) {
        double wait = waitMillis(waiting, now, reportMillis) + waiting.workMillis();
        double allowed = (waiting.request().deadlineNanos() - waiting.arrivedAt()) / 1e6;
        double millis = Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, wait - allowed));
        return Duration.ofNanos((long) (millis * 1e6));
    }
}
