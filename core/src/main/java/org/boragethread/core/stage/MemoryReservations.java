package org.boragethread.core.stage;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.routing.BatchLimits;

/**
 * Keeps result memory of a few upstreams for stages that fit nowhere at present, so that they are
 * not passed again and again by smaller ones. Not thread-safe.
 */
final class MemoryReservations {

    /** Largest share of the upstreams that are reserved at a time; one may always be. */
    private static final double MAX_SHARE = 1 / 3.0;

    private final StageObserver mObserver;
    private final Map<UpstreamNode, Reservation> mReservations = new HashMap<>();

    MemoryReservations(StageObserver observer) {
        mObserver = observer;
    }

    /**
     * Updates the reservations.
     *
     * @param stages pending stages that may get reservations, in their order; others lose theirs
     * @param ranks position of each pending stage in the order
     * @param upstreams upstreams that may be called
     */
    void update(
            List<PendingStage> stages,
            Map<PendingStage.Key, Integer> ranks,
            List<UpstreamNode> upstreams,
            BatchLimits limits,
            long now) {
        Set<PendingStage.Key> eligible = new HashSet<>();
        stages.forEach(stage -> eligible.add(stage.key()));
        mReservations
                .entrySet()
                .removeIf(
                        entry ->
                                !upstreams.contains(entry.getKey())
                                        || !eligible.contains(entry.getValue().mStage));
        mReservations.values().forEach(held -> held.mRank = ranks.get(held.mStage));
        int max = Math.max(1, (int) (upstreams.size() * MAX_SHARE));
        Set<PendingStage.Key> reserved = new HashSet<>();
        mReservations.values().forEach(held -> reserved.add(held.mStage));
        for (PendingStage stage : stages) {
            if (mReservations.size() >= max) {
                return;
            }
            if (!reserved.contains(stage.key()) && !fits(stage, upstreams, limits, now)) {
                Optional<UpstreamNode> upstream = emptiest(stage, upstreams, now);
                upstream.ifPresent(node -> reserve(node, stage, ranks.get(stage.key()), limits));
            }
        }
    }

    private void reserve(UpstreamNode upstream, PendingStage stage, int rank, BatchLimits limits) {
        mReservations.put(upstream, new Reservation(stage, rank, limits));
        mObserver.onReserved(upstream, stage.first().work(), stage.pieces().size());
    }

    private boolean fits(
            PendingStage stage, List<UpstreamNode> upstreams, BatchLimits limits, long now) {
        long bytes = stage.callBytes(limits);
        return upstreams.stream()
                .anyMatch(
                        node -> {
                            long used = node.resultMemory().usedBytes(now);
                            return used == 0 || used + bytes <= BatchScheduler.usableBytes(limits);
                        });
    }

    private Optional<UpstreamNode> emptiest(
            PendingStage stage, List<UpstreamNode> upstreams, long now) {
        return upstreams.stream()
                .filter(node -> !mReservations.containsKey(node))
                .filter(node -> !stage.first().failedAt(node))
                .min(Comparator.comparingLong(node -> node.resultMemory().usedBytes(now)));
    }

    /**
     * Returns whether pieces may be sent to an upstream: the stage for which it is reserved and
     * more urgent ones, and others if that stage still fits when the results that were there before
     * it are freed.
     */
    boolean allows(UpstreamNode upstream, PendingPiece first, long bytes, int rank) {
        Reservation held = mReservations.get(upstream);
        return held == null
                || held.mStage.equals(PendingStage.Key.of(first))
                || rank < held.mRank
                || held.mNewerBytes + bytes <= held.mSpareBytes;
    }

    /** Counts pieces that are sent to an upstream. */
    void onSent(UpstreamNode upstream, Collection<PendingPiece> pieces) {
        Reservation held = mReservations.get(upstream);
        if (held != null) {
            pieces.forEach(piece -> held.mNewerBytes += piece.work().resultBytes());
        }
    }

    /** Memory of one upstream that is kept for one stage. */
    private static final class Reservation {

        private final PendingStage.Key mStage;
        private final long mSpareBytes;
        private long mNewerBytes;
        private int mRank;

        Reservation(PendingStage stage, int rank, BatchLimits limits) {
            mStage = stage.key();
            mRank = rank;
            mSpareBytes = BatchScheduler.usableBytes(limits) - stage.callBytes(limits);
        }
    }
}
