package org.boragethread.core.placement;

import java.util.HashMap;
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

    boolean isHolder(WaitingRequest waiting) {
        return mReserved.containsValue(waiting);
    }

    /**
     * Reserves an engine for a request if the limit allows it, or takes over the reservation of a
     * less urgent one.
     *
     * @param isTurn whether the request has waited longest and it is its turn
     */
    void reserve(EngineLoad engine, WaitingRequest waiting, int engines, boolean isTurn, long now) {
        if (!mReserved.containsKey(engine) && mReserved.size() < Math.max(1, engines / MAX_PART)) {
            mReserved.put(engine, waiting);
            return;
        }
        Optional<EngineLoad> yielding =
                mReserved.entrySet().stream()
                        .filter(entry -> isTurn || yields(entry.getValue(), waiting, now))
                        .filter(entry -> EngineTable.isUsable(entry.getKey(), waiting.request()))
                        .map(Map.Entry::getKey)
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

    /** Ends the reservations of engines that are gone or that their request may not use. */
    void retainUsable(EngineTable engines) {
        mReserved
                .entrySet()
                .removeIf(
                        entry ->
                                engines.find(entry.getKey().status().id())
                                                .filter(load -> load == entry.getKey())
                                                .isEmpty()
                                        || !EngineTable.isUsable(
                                                entry.getKey(), entry.getValue().request()));
    }
}
