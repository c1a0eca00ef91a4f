package org.boragethread.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.boragethread.model.upstream.UpstreamId;

/** Load of all engines that the directory lists. Not thread-safe. */
final class EngineTable {

    private final Map<UpstreamId, EngineLoad> mById = new HashMap<>();
    private final PrefixRanks mRanks = new PrefixRanks();
    private List<EngineLoad> mListed = List.of();
    private List<EngineStatus> mStatuses = List.of();

    /**
     * Replaces the list of engines. The load of one that is missing for a while is kept as long as
     * requests are placed there; a new run starts without load.
     *
     * @return whether anything changed
     */
    boolean update(Collection<EngineStatus> engines) {
        List<EngineStatus> statuses = List.copyOf(engines);
        if (statuses.equals(mStatuses)) {
            return false;
        }
        mStatuses = statuses;
        Map<UpstreamId, EngineLoad> previous = new HashMap<>(mById);
        List<EngineLoad> listed = new ArrayList<>(engines.size());
        List<UpstreamId> ids = new ArrayList<>(engines.size());
        mById.clear();
        for (EngineStatus status : engines) {
            EngineLoad load = previous.remove(status.id());
            if (load == null || load.status().run() != status.run()) {
                load = new EngineLoad(status);
            } else {
                load.setStatus(status);
            }
            mById.put(status.id(), load);
            listed.add(load);
            ids.add(status.id());
        }
        previous.values().removeIf(load -> load.placed() == 0);
        mById.putAll(previous);
        mListed = listed;
        mRanks.setEngines(ids);
        return true;
    }

    /** Returns the engines in the directory, in its order. */
    List<EngineLoad> listed() {
        return mListed;
    }

    PrefixRanks ranks() {
        return mRanks;
    }

    Optional<EngineLoad> find(UpstreamId id) {
        return Optional.ofNullable(mById.get(id));
    }

    /**
     * Returns whether all engines that a request may use are avoided. It then uses one of them, as
     * waiting for another one is of no use.
     */
    boolean areAllAvoided(PlacementRequest request, long now) {
        for (EngineLoad engine : mListed) {
            if (!engine.isAvoided(now) && isUsable(engine, request)) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether any listed engine has a prefix in its cache. */
    boolean isPrefixCached(long prefix) {
        return mListed.stream().anyMatch(engine -> engine.isPrefixCached(prefix));
    }

    /** Returns the engines that a request may use, busy ones included. */
    List<EngineLoad> usable(PlacementRequest request) {
        List<EngineLoad> usable = new ArrayList<>(mListed.size());
        for (EngineLoad engine : mListed) {
            if (isUsable(engine, request)) {
                usable.add(engine);
            }
        }
        return usable;
    }

    /** Returns whether a request may use an engine, now or when it is less busy. */
    static boolean isUsable(EngineLoad engine, PlacementRequest request) {
        EngineStatus status = engine.status();
        if (status.leaving()
                || !request.unusable().isEmpty() && request.unusable().contains(status.id())) {
            return false;
        }
        if (request.requiredVersion().isPresent()
                && !request.requiredVersion().equals(status.version())) {
            return false;
        }
        return request.forbiddenVersions().isEmpty()
                || status.version().filter(request.forbiddenVersions()::contains).isEmpty();
    }
}
