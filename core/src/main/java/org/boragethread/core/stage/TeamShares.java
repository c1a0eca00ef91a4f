package org.boragethread.core.stage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.boragethread.model.routing.BatchLimits;

/**
 * Divides a group evenly among the teams that have pieces waiting. The work of a piece is its share
 * of a call or of an upstream's result memory, whichever is larger. Not thread-safe.
 */
final class TeamShares {

    private final Map<String, Double> mServed = new HashMap<>();

    /**
     * Sets the teams that have pieces waiting. A team that joins them has no claim from the time
     * when it had none.
     */
    void setWaiting(Set<String> teams) {
        mServed.keySet().retainAll(teams);
        double start = mServed.values().stream().min(Comparator.naturalOrder()).orElse(0.0);
        teams.forEach(team -> mServed.putIfAbsent(team, start));
    }

    /** Counts pieces that were sent. */
    void onSent(Collection<PendingPiece> pieces, BatchLimits limits) {
        for (PendingPiece piece : pieces) {
            mServed.merge(piece.urgency().team(), work(piece, limits), Double::sum);
        }
    }

    /**
     * Arranges stages so that the team that has been served least comes next. The stages of one
     * team keep their order.
     *
     * @param stages stages of one priority, the most urgent first
     */
    List<PendingStage> arrange(List<PendingStage> stages, BatchLimits limits) {
        Map<String, Turn> byTeam = new LinkedHashMap<>();
        for (PendingStage stage : stages) {
            String team = stage.first().urgency().team();
            byTeam.computeIfAbsent(team, key -> new Turn(byTeam.size(), served(key)))
                    .mStages
                    .add(stage);
        }
        PriorityQueue<Turn> turns =
                new PriorityQueue<>(
                        Comparator.comparingDouble((Turn turn) -> turn.mServed)
                                .thenComparingInt(turn -> turn.mRank));
        turns.addAll(byTeam.values());
        List<PendingStage> arranged = new ArrayList<>();
        while (!turns.isEmpty()) {
            Turn turn = turns.poll();
            PendingStage stage = turn.mStages.poll();
            arranged.add(stage);
            turn.mServed += work(stage.first(), limits) * stage.pieces().size();
            if (!turn.mStages.isEmpty()) {
                turns.add(turn);
            }
        }
        return arranged;
    }

    private double served(String team) {
        return mServed.getOrDefault(team, 0.0);
    }

    /** Returns the work of a piece, where 1 occupies a call or an upstream's result memory. */
    static double work(PendingPiece piece, BatchLimits limits) {
        double memoryShare = piece.work().resultBytes() / (double) limits.resultBytes();
        return Math.max(1.0 / limits.batch(), memoryShare);
    }

    /** The waiting stages of one team. */
    private static final class Turn {

        private final Deque<PendingStage> mStages = new ArrayDeque<>();
        private final int mRank;
        private double mServed;

        Turn(int rank, double served) {
            mRank = rank;
            mServed = served;
        }
    }
}
