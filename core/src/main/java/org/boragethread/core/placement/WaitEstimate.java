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
        return Math.max(shortest, millisInQueue(waiting, now, usable));
    }

    private double millisInQueue(WaitingRequest waiting, long now, List<EngineLoad> engines) {
        double speed = 0;
        for (EngineLoad engine : engines) {
            speed += 1 / engine.slowness(now);
        }
        double rate = Math.max(MIN_RATE_SHARE * engines.size(), mRate.get().orElse(speed));
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

    /**
     * Returns the time until such a request would be placed. The time that the refused one had is
     * no part of it: requests are refused as soon as the wait exceeds their time, so that the rest
     * would always be short.
     */
    Duration retryAfter(WaitingRequest waiting, long now, double reportMillis) {
        double wait = waitMillis(waiting, now, reportMillis);
        double millis = Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, wait));
        return Duration.ofNanos((long) (millis * 1e6));
    }
}
