package org.boragethread.core.fairness;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.team.Team;
import org.boragethread.model.team.TeamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link TeamLimits}. */
public class TeamLimitsTest {

    private static final Team PATROL = new Team(new TeamId("patrol"), 1, 10, 4);

    private ManualTimeSource mTime;
    private TeamLimits mLimits;

    @BeforeMethod
    public void createLimits() {
        mTime = new ManualTimeSource();
        mLimits = new TeamLimits(mTime);
    }

    @Test
    public void requestsAboveTheConcurrencyLimitAreRefusedUntilOneEnds() {
        Either<Refusal, TeamAdmission.Admission> first = mLimits.tryAdmit(PATROL);
        for (int i = 1; i < PATROL.maxConcurrent(); i++) {
            assertTrue(mLimits.tryAdmit(PATROL).isRight());
        }
        assertEquals(refusal().reason(), RefusalReason.TEAM_CONCURRENCY);
        first.get().close();
        first.get().close();
        assertTrue(mLimits.tryAdmit(PATROL).isRight());
        assertEquals(refusal().reason(), RefusalReason.TEAM_CONCURRENCY);
    }

    @Test
    public void burstOfOneSecondIsAdmittedAndThenTheRateApplies() {
        assertEquals(admitAll(100), 10);
        assertEquals(refusal().reason(), RefusalReason.TEAM_RATE);
        assertEquals(refusal().retryAfter().get(), Duration.ofMillis(100));
        mTime.advance(Duration.ofMillis(500));
        assertEquals(admitAll(100), 5);
    }

    @Test
    public void rateLimitHoldsOverALongTime() {
        int admitted = 0;
        for (int i = 0; i < 1000; i++) {
            mTime.advance(Duration.ofMillis(10));
            admitted += admitAll(1);
        }
        assertTrue(admitted <= 10 * 10 + 10, "admitted " + admitted);
    }

    @Test
    public void burstOfOneTeamDoesNotAffectAnother() {
        admitAll(1000);
        Team other = new Team(new TeamId("district"), 1, 1, 1);
        assertTrue(mLimits.tryAdmit(other).isRight());
    }

    @Test
    public void idleTeamsAreEvicted() {
        for (int i = 0; i < 20_000; i++) {
            mTime.advance(Duration.ofMillis(1));
            Team team = new Team(new TeamId("team-" + i), 1, 10, 4);
            mLimits.tryAdmit(team).get().close();
        }
        assertTrue(mLimits.size() <= 1100, "teams " + mLimits.size());
    }

    @Test
    public void teamWithOpenRequestsIsNotEvicted() {
        for (int i = 0; i < PATROL.maxConcurrent(); i++) {
            mLimits.tryAdmit(PATROL);
        }
        for (int i = 0; i < 5000; i++) {
            mTime.advance(Duration.ofMillis(1));
            mLimits.tryAdmit(new Team(new TeamId("team-" + i), 1, 10, 4)).get().close();
        }
        assertEquals(refusal().reason(), RefusalReason.TEAM_CONCURRENCY);
    }

    private Refusal refusal() {
        return mLimits.tryAdmit(PATROL).getLeft();
    }

    private int admitAll(int requests) {
        int admitted = 0;
        for (int i = 0; i < requests; i++) {
            Either<Refusal, TeamAdmission.Admission> result = mLimits.tryAdmit(PATROL);
            if (result.isRight()) {
                admitted++;
                result.get().close();
            }
        }
        return admitted;
    }
}
