package org.boragethread.core.stage;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.boragethread.model.routing.BatchLimits;
import org.testng.annotations.Test;

/** Tests {@link TeamShares}. */
public class TeamSharesTest {

    private static final BatchLimits LIMITS =
            new BatchLimits(
                    1,
                    2,
                    7,
                    Duration.ofMillis(150),
                    Duration.ofMillis(18),
                    1 << 30,
                    Duration.ofSeconds(4));

    private static PendingStage stage(String team) {
        PieceWork work = new PieceWork(team, 0, 0, Long.MAX_VALUE, "key", 1000, Optional.empty());
        PieceUrgency urgency = new PieceUrgency(0, Long.MAX_VALUE, false, false, team, false);
        PieceListener listener =
                new PieceListener() {
                    @Override
                    public void onCompleted(PieceWork done, ResultLocation location) {}

                    @Override
                    public void onFailed(PieceWork failed, StageFailure failure) {}
                };
        return new PendingStage(
                List.of(new PendingPiece(work, urgency, Optional.empty(), listener, 0)));
    }

    // Guards against a team that gets more than its share because it has large stages, one at a
    // time, and is forgotten whenever none is waiting.
    @Test
    public void teamKeepsItsShareWhileNothingOfItWaits() {
        TeamShares shares = new TeamShares();
        PendingStage large = stage("large");
        PendingStage small = stage("small");
        shares.setWaiting(Set.of("large", "small"));
        shares.onSent(large.pieces(), LIMITS);
        shares.setWaiting(Set.of("small"));
        shares.setWaiting(Set.of("large", "small"));
        assertEquals(shares.arrange(List.of(large, small), LIMITS), List.of(small, large));
        shares.setWaiting(Set.of());
        shares.setWaiting(Set.of("large", "small"));
        assertEquals(shares.arrange(List.of(large, small), LIMITS), List.of(large, small));
    }

    // Guards against a team that joins late and is served alone until it has caught up.
    @Test
    public void newTeamStartsAtTheLowestShare() {
        TeamShares shares = new TeamShares();
        PendingStage old = stage("old");
        shares.setWaiting(Set.of("old"));
        for (int i = 0; i < 10; i++) {
            shares.onSent(old.pieces(), LIMITS);
        }
        shares.setWaiting(Set.of("old", "new"));
        PendingStage first = stage("new");
        PendingStage second = stage("new");
        assertEquals(
                shares.arrange(List.of(old, first, second), LIMITS), List.of(old, first, second));
    }

    // Guards against shares that are infinite where no memory for results is configured.
    @Test
    public void workIsFiniteWithoutAMemoryLimit() {
        BatchLimits unlimited =
                new BatchLimits(
                        1, 2, 7, Duration.ofMillis(150), Duration.ZERO, 0, Duration.ofSeconds(4));
        assertEquals(TeamShares.work(stage("a").first(), unlimited), 1 / 7.0);
    }

    // Guards against a stage that is rejected at once and changes the shares of others.
    @Test
    public void copyForOtherTeamsLeavesSharesAsTheyAre() {
        TeamShares shares = new TeamShares();
        PendingStage old = stage("old");
        PendingStage other = stage("other");
        shares.setWaiting(Set.of("old"));
        shares.onSent(old.pieces(), LIMITS);
        TeamShares copy = shares.withWaiting(Set.of("other"));
        assertEquals(copy.arrange(List.of(old, other), LIMITS), List.of(old, other));
        assertEquals(shares.arrange(List.of(old, other), LIMITS), List.of(other, old));
    }
}
