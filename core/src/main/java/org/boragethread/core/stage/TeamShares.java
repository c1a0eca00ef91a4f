package org.boragethread.core.stage;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.boragethread.core.fairness.EvenShares;
import org.boragethread.model.routing.BatchLimits;

/**
 * Divides a group evenly among the teams that have pieces waiting. The work of a piece is its share
 * of a call or of an upstream's result memory, whichever is larger. Not thread-safe.
 */
final class TeamShares {

    private final EvenShares mShares;

    /** Creates even shares. */
    TeamShares() {
        this(new EvenShares());
    }

    private TeamShares(EvenShares shares) {
        mShares = shares;
    }

    /** Returns a copy of these shares in which the given teams have pieces waiting. */
    TeamShares withWaiting(Set<String> teams) {
        return new TeamShares(mShares.withWaiting(teams));
    }

    /** Sets the teams that have pieces waiting. */
    void setWaiting(Set<String> teams) {
        mShares.setWaiting(teams);
    }

    /** Counts pieces that were sent. */
    void onSent(Collection<PendingPiece> pieces, BatchLimits limits) {
        for (PendingPiece piece : pieces) {
            mShares.add(piece.urgency().team(), work(piece, limits));
        }
    }

    /**
     * Arranges stages so that the team that has been served least comes next. The stages of one
     * team keep their order.
     *
     * @param stages stages of one priority, the most urgent first
     */
    List<PendingStage> arrange(List<PendingStage> stages, BatchLimits limits) {
        Map<String, List<PendingStage>> byTeam = new LinkedHashMap<>();
        for (PendingStage stage : stages) {
            String team = stage.first().urgency().team();
            byTeam.computeIfAbsent(team, key -> new ArrayList<>()).add(stage);
        }
        return mShares.arrange(
                byTeam,
                stage -> work(stage.first(), limits) * stage.pieces().size(),
                (one, other) -> 0,
                stages.size());
    }

    /**
     * Returns the work of a piece, where 1 occupies a call or an upstream's result memory. Without
     * a configured memory only calls count.
     */
    static double work(PendingPiece piece, BatchLimits limits) {
        double callShare = 1.0 / limits.batch();
        return limits.resultBytes() <= 0
                ? callShare
                : Math.max(callShare, piece.work().resultBytes() / (double) limits.resultBytes());
    }
}
