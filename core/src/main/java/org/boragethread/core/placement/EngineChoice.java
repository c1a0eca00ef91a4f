package org.boragethread.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.boragethread.model.routing.EngineLimits;

/**
 * Chooses engines for waiting requests at one moment. A request whose cheapest engine is busy waits
 * for it; its prompt then counts as ahead of those of the requests after it.
 */
final class EngineChoice {

    /**
     * An engine is given another prompt when it is expected to finish the earlier ones within this
     * time, that of one short prompt: urgent requests then wait for little at the engine, and it
     * does not idle while messages travel.
     */
    static final double SHORT_PROMPT_MILLIS = 100;

    private final EngineTable mEngines;
    private final EngineReservations mReservations;
    private final EngineCost mCost;
    private final EngineLimits mLimits;
    private final boolean mLimitMemory;
    private final long mNow;
    private final double[] mRemaining;
    private final Map<EngineLoad, Double> mAwaited = new HashMap<>();
    private double mMissWeight;
    private double mNextOpenMillis = Double.MAX_VALUE;
    private int mOpen;

    /** Result of a choice: the engine, and whether it can be given the prompt now. */
    record Candidate(EngineLoad engine, double waitMillis, boolean open) {}

    /**
     * Reads the load of all engines.
     *
     * @param reportMillis delay of reports
     */
    EngineChoice(
            EngineTable engines,
            EngineReservations reservations,
            EngineCost cost,
            EngineLimits limits,
            boolean limitMemory,
            long now,
            double reportMillis) {
        mEngines = engines;
        mReservations = reservations;
        mCost = cost;
        mLimits = limits;
        mLimitMemory = limitMemory;
        mNow = now;
        mRemaining = new double[engines.listed().size()];
        int busy = 0;
        for (int i = 0; i < mRemaining.length; i++) {
            EngineLoad engine = engines.listed().get(i);
            mRemaining[i] = engine.remainingMillis(now, reportMillis);
            busy += mRemaining[i] > 0 ? 1 : 0;
            double untilOpen = mRemaining[i] - SHORT_PROMPT_MILLIS;
            if (engine.isAvoided(now)) {
                untilOpen = Math.max(untilOpen, (engine.avoidedUntil() - now) / 1e6);
            }
            if (untilOpen < 0) {
                mOpen++;
            } else {
                mNextOpenMillis = Math.min(mNextOpenMillis, untilOpen);
            }
        }
        mMissWeight = EngineCost.missWeight(busy / Math.max(1.0, mRemaining.length));
    }

    /** Returns the number of engines that can be given a prompt now, if it fits. */
    int open() {
        return mOpen;
    }

    /** Returns the time until another engine can be given a prompt, in milliseconds. */
    double nextOpenMillis() {
        return mNextOpenMillis;
    }

    /**
     * Returns the cheapest engine that has room for a request and could produce its first event
     * before the deadline; empty if there is none now.
     *
     * @param openOnly whether to leave out engines that cannot be given a prompt now
     */
    Optional<Candidate> choose(WaitingRequest waiting, boolean openOnly) {
        PlacementRequest request = waiting.request();
        List<EngineLoad> engines = mEngines.listed();
        boolean hasPrefix = request.prefixHash() != 0;
        double missWeight = waiting.isLate(mNow) ? 1 : mMissWeight;
        Candidate best = null;
        double lowestCost = Double.MAX_VALUE;
        int offset = (int) (waiting.sequence() % Math.max(1, engines.size()));
        for (int i = 0; i < engines.size(); i++) {
            int index = i + offset < engines.size() ? i + offset : i + offset - engines.size();
            EngineLoad engine = engines.get(index);
            boolean open = mRemaining[index] < SHORT_PROMPT_MILLIS;
            if (openOnly && !open || engine.isAvoided(mNow) || !hasRoom(engine, waiting)) {
                continue;
            }
            double wait = mRemaining[index] + mAwaited.getOrDefault(engine, 0.0);
            double firstEvent = wait + mCost.promptMillis(engine, request, mNow);
            if (firstEvent > (request.deadlineNanos() - mNow) / 1e6) {
                continue;
            }
            int rank =
                    hasPrefix
                            ? PrefixRanks.rank(
                                    mEngines.ranks().first(request.prefixHash()),
                                    engine.status().id())
                            : 0;
            double cost = mCost.of(engine, request, wait, rank, missWeight, mNow);
            if (cost < lowestCost) {
                lowestCost = cost;
                best = new Candidate(engine, wait, open);
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean hasRoom(EngineLoad engine, WaitingRequest waiting) {
        return mReservations.isFree(engine, waiting)
                && EngineTable.isUsable(engine, waiting.request())
                && engine.hasRoom(waiting.request(), mLimits, mLimitMemory);
    }

    /** Counts the prompt of a request that waits for a busy engine. */
    void await(EngineLoad engine, WaitingRequest waiting) {
        mAwaited.merge(engine, mCost.promptMillis(engine, waiting.request(), mNow), Double::sum);
    }

    /**
     * Returns the engine to reserve for a request that has no room anywhere: the one that holds the
     * fewest tokens. Empty if it is only kept from engines that have room by other causes.
     */
    Optional<EngineLoad> engineToReserve(WaitingRequest waiting) {
        EngineLoad best = null;
        for (EngineLoad engine : mEngines.listed()) {
            if (engine.isAvoided(mNow) || !EngineTable.isUsable(engine, waiting.request())) {
                continue;
            }
            if (mReservations.isFree(engine, waiting)
                    && (best == null || engine.tokens() < best.tokens())) {
                best = engine;
            }
        }
        return Optional.ofNullable(best);
    }
}
