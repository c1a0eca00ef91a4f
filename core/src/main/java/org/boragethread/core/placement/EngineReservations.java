package org.boragethread.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Engines that accept no other request until one that is next in order, but does not fit into the
 * memory or slots of any engine, has been placed. Otherwise smaller ones would overtake it for
 * ever. Not thread-safe.
 */
final class EngineReservations {

    /** At most this part of the engines is reserved at a time, but at least one. */
    private static final int MAX_PART = 3;

    private final Map<EngineLoad, WaitingRequest> mReserved = new HashMap<>();

    /** Returns whether an engine is not reserved for another request. */
    boolean isFree(EngineLoad engine, WaitingRequest waiting) {
        WaitingRequest holder = mReserved.get(engine);
        return holder == null || holder == waiting;
    }

    /**
     * Reserves an engine for a request if the limit allows it, or takes over the reservation of a
     * less urgent one. A request keeps the reservation that it has while that engine is suitable.
     *
     * @param suitable engines that could serve the request, the best one first
     * @param engines number of engines of the group
     * @param isTurn whether the request has waited longest and it is its turn
     */
    void reserve(
            List<EngineLoad> suitable,
            WaitingRequest waiting,
            int engines,
            boolean isTurn,
            long now) {
        mReserved
                .entrySet()
                .removeIf(
                        entry -> entry.getValue() == waiting && !suitable.contains(entry.getKey()));
        if (suitable.isEmpty() || mReserved.containsValue(waiting)) {
            return;
        }
        EngineLoad best = suitable.get(0);
        if (!mReserved.containsKey(best) && mReserved.size() < Math.max(1, engines / MAX_PART)) {
            mReserved.put(best, waiting);
            return;
        }
        Optional<EngineLoad> yielding =
                suitable.stream()
                        .filter(mReserved::containsKey)
                        .filter(engine -> isTurn || yields(mReserved.get(engine), waiting, now))
                        .findFirst();
        yielding.ifPresent(reserved -> mReserved.put(reserved, waiting));
    }

    private static boolean yields(WaitingRequest holder, WaitingRequest waiting, long now) {
        return waiting.request().priority() < holder.request().priority() && !waiting.isLate(now);
    }

    /** Ends the reservation of a request, if it has one. */
    void release(WaitingRequest waiting) {
        mReserved.values().removeIf(holder -> holder == waiting);
    }

    /**
     * Ends the reservations of engines that are not listed, even if requests still run there, or
     * that their request may not use.
     */
    void retainUsable(EngineTable engines) {
        mReserved
                .entrySet()
                .removeIf(
                        entry ->
                                !engines.listed().contains(entry.getKey())
                                        || !EngineTable.isUsable(
                                                entry.getKey(), entry.getValue().request()));
    }
}
