package org.boragethread.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.boragethread.model.routing.EngineLimits;
import org.boragethread.model.upstream.UpstreamId;

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

    private static final UpstreamId[] NO_ENGINES = {};

    private final EngineTable mEngines;
    private final EngineReservations mReservations;
    private final EngineCost mCost;
    private final EngineLimits mLimits;
    private final boolean mLimitMemory;
    private final long mNow;
    private final double[] mRemaining;
    private final double[] mAwaited;
    private final double[] mSlowness;
    private double mMissWeight;
    private double mNextOpenMillis = Double.MAX_VALUE;
    private int mOpen;

    /** Result of a choice: the engine, and whether it can be given the prompt now. */
    record Candidate(EngineLoad engine, int index, boolean open) {}

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
        mAwaited = new double[mRemaining.length];
        mSlowness = new double[mRemaining.length];
        int busy = 0;
        for (int i = 0; i < mRemaining.length; i++) {
            EngineLoad engine = engines.listed().get(i);
            mRemaining[i] = engine.remainingMillis(now, reportMillis);
            mSlowness[i] = engine.slowness(now);
            busy += mRemaining[i] > 0 ? 1 : 0;
            double untilOpen = mRemaining[i] - SHORT_PROMPT_MILLIS;
            if (untilOpen < 0) {
                mOpen++;
            }
            if (engine.isAvoided(now)) {
                untilOpen = Math.max(untilOpen, (engine.avoidedUntil() - now) / 1e6);
            }
            if (untilOpen >= 0) {
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
        UpstreamId[] first =
                request.prefixHash() == 0
                        ? NO_ENGINES
                        : mEngines.ranks().first(request.prefixHash());
        double timeLeft = (request.deadlineNanos() - mNow) / 1e6;
        double missWeight = waiting.isLate(mNow) ? 1 : mMissWeight;
        boolean onlyAvoided = mEngines.areAllAvoided(request, mNow);
        Candidate best = null;
        double lowestCost = Double.MAX_VALUE;
        int offset = (int) (waiting.sequence() % Math.max(1, engines.size()));
        for (int i = 0; i < engines.size(); i++) {
            int index = i + offset < engines.size() ? i + offset : i + offset - engines.size();
            EngineLoad engine = engines.get(index);
            if (mRemaining[index] + mAwaited[index] >= lowestCost) {
                // The cost is never less than the wait.
                continue;
            }
            boolean open = mRemaining[index] < SHORT_PROMPT_MILLIS;
            boolean avoided = !onlyAvoided && engine.isAvoided(mNow);
            if (openOnly && !open || avoided || !hasRoom(engine, waiting)) {
                continue;
            }
            double firstEvent = firstEventMillis(index, request);
            if (firstEvent > timeLeft) {
                continue;
            }
            int rank = PrefixRanks.rank(first, engine.status().id());
            double cost = mCost.of(engine, request, firstEvent, rank, missWeight);
            if (cost < lowestCost) {
                lowestCost = cost;
                best = new Candidate(engine, index, open);
            }
        }
        return Optional.ofNullable(best);
    }

    private double firstEventMillis(int index, PlacementRequest request) {
        EngineLoad engine = mEngines.listed().get(index);
        return mRemaining[index]
                + mAwaited[index]
                + mCost.promptMillis(engine, request, mSlowness[index]);
    }

    private boolean hasRoom(EngineLoad engine, WaitingRequest waiting) {
        return mReservations.isFree(engine, waiting)
                && EngineTable.isUsable(engine, waiting.request())
                && engine.hasRoom(waiting.request(), mLimits, mLimitMemory);
    }

    /** Counts the prompt of a request that waits for a busy engine. */
    void await(Candidate candidate, WaitingRequest waiting) {
        int index = candidate.index();
        mAwaited[index] +=
                mCost.promptMillis(candidate.engine(), waiting.request(), mSlowness[index]);
    }

    /**
     * Returns the engines that could serve a request in time and have no room for it, those that
     * are not reserved for another request first, then those that hold the fewest tokens. An engine
     * that is too slow for the deadline would only idle if it were reserved.
     */
    List<EngineLoad> enginesToReserve(WaitingRequest waiting) {
        List<EngineLoad> candidates = new ArrayList<>();
        boolean onlyAvoided = mEngines.areAllAvoided(waiting.request(), mNow);
        for (int i = 0; i < mRemaining.length; i++) {
            EngineLoad engine = mEngines.listed().get(i);
            if (isServable(i, waiting.request(), onlyAvoided) && !hasRoom(engine, waiting)) {
                candidates.add(engine);
            }
        }
        candidates.sort(
                Comparator.comparing((EngineLoad engine) -> !mReservations.isFree(engine, waiting))
                        .thenComparingLong(EngineLoad::tokens));
        return candidates;
    }

    /** Returns whether an engine can serve a request in time, now or once it has room. */
    boolean isServable(WaitingRequest waiting) {
        boolean onlyAvoided = mEngines.areAllAvoided(waiting.request(), mNow);
        for (int i = 0; i < mRemaining.length; i++) {
            if (isServable(i, waiting.request(), onlyAvoided)) {
                return true;
            }
        }
        return false;
    }

    private boolean isServable(int index, PlacementRequest request, boolean onlyAvoided) {
        EngineLoad engine = mEngines.listed().get(index);
        double timeLeft = (request.deadlineNanos() - mNow) / 1e6;
        return (onlyAvoided || !engine.isAvoided(mNow))
                && (!mLimitMemory || request.memoryTokens() <= mLimits.cacheTokens())
                && EngineTable.isUsable(engine, request)
                && firstEventMillis(index, request) <= timeLeft;
    }
}
