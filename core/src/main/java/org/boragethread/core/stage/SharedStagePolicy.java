package org.boragethread.core.stage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.routing.BatchLimits;

/**
 * Shares the upstreams of a large group among the requests of many teams. Stages in time precede
 * late ones, then priority counts, then the latest start, while teams get equal shares. One batch
 * in eight is led by the stage that has waited longest, and memory is reserved for stages that fit
 * nowhere, so that no priority and no size is passed until its callers give up.
 */
public final class SharedStagePolicy implements StagePolicy {

    /** One of this number of batches is led by the stage that has waited longest. */
    private static final int BATCHES_PER_TURN = 8;

    private final TeamShares mTeams = new TeamShares();
    private final MemoryReservations mReservations = new MemoryReservations();
    private Map<PendingStage.Key, Integer> mRanks = Map.of();
    private Optional<PendingStage.Key> mTurn = Optional.empty();
    private int mBatchesSinceTurn;

    @Override
    public double timeFactor(UpstreamNode upstream, long now) {
        return upstream.timeFactor(now);
    }

    @Override
    public List<PendingPiece> order(List<PendingPiece> pending, BatchLimits limits, long now) {
        List<PendingStage> stages = PendingStage.group(pending);
        mTeams.setWaiting(
                stages.stream()
                        .map(stage -> stage.first().urgency().team())
                        .collect(Collectors.toSet()));
        updateTurn(stages);
        Map<Rank, List<PendingStage>> byRank = new TreeMap<>();
        stages.stream()
                .sorted(Comparator.comparingLong(stage -> latestStart(stage, limits)))
                .forEach(
                        stage ->
                                byRank.computeIfAbsent(
                                                rank(stage, limits, now), key -> new ArrayList<>())
                                        .add(stage));
        List<PendingPiece> ordered = new ArrayList<>();
        for (List<PendingStage> equals : byRank.values()) {
            mTeams.arrange(equals, limits).forEach(stage -> ordered.addAll(stage.pieces()));
        }
        return ordered;
    }

    /** Chooses the stage that leads the next batch, if it is time for the longest waiting one. */
    private void updateTurn(List<PendingStage> stages) {
        mTurn = mTurn.filter(turn -> stages.stream().anyMatch(stage -> stage.key().equals(turn)));
        if (mTurn.isEmpty() && mBatchesSinceTurn >= BATCHES_PER_TURN - 1) {
            mTurn =
                    stages.stream()
                            .min(Comparator.comparingLong(stage -> stage.first().submittedAt()))
                            .map(PendingStage::key);
        }
    }

    private Rank rank(PendingStage stage, BatchLimits limits, long now) {
        PieceUrgency urgency = stage.first().urgency();
        if (stage.pieces().stream().anyMatch(PendingPiece::isStagePartlySent)) {
            return new Rank(RankClass.PARTLY_SENT, 0);
        }
        if (mTurn.isPresent() && mTurn.get().equals(stage.key())) {
            return new Rank(RankClass.TURN, 0);
        }
        boolean inTime = urgency.isContinuation() || now <= latestStart(stage, limits);
        return new Rank(inTime ? RankClass.IN_TIME : RankClass.LATE, urgency.priority());
    }

    /** Returns the monotonic time at which a stage must start for its request to be in time. */
    private static long latestStart(PendingStage stage, BatchLimits limits) {
        PieceUrgency urgency = stage.first().urgency();
        int pieces = Math.min(stage.pieces().size(), limits.batch());
        long own = limits.expectedTime(pieces).toNanos();
        long reserve = (urgency.requiredCalls() - 1) * limits.expectedTime(1).toNanos();
        return urgency.targetNanos() - own - reserve;
    }

    /** A piece that has waited shares its call with others, as calls are full while pieces wait. */
    @Override
    public boolean cannotMeetDeadline(
            PendingPiece piece, BatchLimits limits, long now, long earliestStart) {
        int pieces = now > piece.submittedAt() ? limits.batch() : 1;
        long end = earliestStart + limits.expectedTime(pieces).toNanos();
        return end >= piece.work().deadlineNanos();
    }

    @Override
    public void beginDispatch(
            List<PendingPiece> ordered,
            List<UpstreamNode> upstreams,
            BatchLimits limits,
            long now) {
        List<PendingStage> stages = PendingStage.group(ordered);
        mRanks = new HashMap<>();
        stages.forEach(stage -> mRanks.put(stage.key(), mRanks.size()));
        mReservations.update(stages, upstreams, limits, now);
    }

    @Override
    public boolean mayUse(UpstreamNode upstream, PendingPiece first, long bytes) {
        int rank = mRanks.getOrDefault(PendingStage.Key.of(first), Integer.MAX_VALUE);
        return mReservations.allows(upstream, first, bytes, rank);
    }

    @Override
    public void onSelected(UpstreamNode upstream, List<PendingPiece> batch, BatchLimits limits) {
        mTeams.onSent(batch, limits);
        mReservations.onSent(upstream, batch);
        mBatchesSinceTurn++;
        boolean wasTurn =
                mTurn.isPresent()
                        && batch.stream()
                                .anyMatch(piece -> PendingStage.Key.of(piece).equals(mTurn.get()));
        if (wasTurn) {
            mTurn = Optional.empty();
            mBatchesSinceTurn = 0;
        }
    }

    /** What goes first, whatever the priority. */
    private enum RankClass {
        PARTLY_SENT,
        TURN,
        IN_TIME,
        LATE
    }

    private record Rank(RankClass rankClass, int priority) implements Comparable<Rank> {

        private static final Comparator<Rank> ORDER =
                Comparator.comparing(Rank::rankClass).thenComparingInt(Rank::priority);

        @Override
        public int compareTo(Rank other) {
            return ORDER.compare(this, other);
        }
    }
}
