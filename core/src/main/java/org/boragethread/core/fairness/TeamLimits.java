package org.boragethread.core.fairness;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.team.Team;
import org.boragethread.model.team.TeamId;

/**
 * Bounds each team's request rate and its unanswered requests at one entry. A burst of one second's
 * worth of requests, and at least one request, is taken at once.
 *
 * <p>A team without unanswered requests whose burst is whole again is forgotten, so memory follows
 * the teams that are active, not all that exist. One lock guards the table.
 */
public final class TeamLimits implements TeamAdmission {

    private static final double BURST_SECONDS = 1;
    private static final int EVICTIONS_PER_CALL = 2;
    private static final Duration CONCURRENCY_RETRY_AFTER = Duration.ofMillis(100);

    private final TimeSource mTime;
    // In order of last use.
    private final Map<TeamId, TeamState> mTeams = new LinkedHashMap<>(16, 0.75f, true);

    /** Makes an empty table. */
    public TeamLimits(TimeSource time) {
        mTime = Objects.requireNonNull(time, "time");
    }

    @Override
    public synchronized Either<Refusal, Admission> tryAdmit(Team team) {
        long now = mTime.nanoTime();
        evictIdle(now);
        double burst = burst(team);
        TeamState state =
                mTeams.computeIfAbsent(team.id(), id -> new TeamState(new TokenBucket(burst, now)));
        state.mBucket.refill(team.ratePerSecond(), burst, now);
        state.mForgetNanos = now + fillTime(team, burst);
        if (state.mOpen >= team.maxConcurrent()) {
            return Either.left(tooManyOpen(team));
        }
        if (!state.mBucket.hasToken()) {
            return Either.left(tooFast(team, state.mBucket.timeUntilToken(team.ratePerSecond())));
        }
        state.mBucket.take();
        state.mOpen++;
        return Either.right(new OpenRequest(state));
    }

    /** Returns the number of teams held in memory. */
    public synchronized int size() {
        return mTeams.size();
    }

    private static double burst(Team team) {
        return Math.max(1, team.ratePerSecond() * BURST_SECONDS);
    }

    private static long fillTime(Team team, double burst) {
        double seconds = burst / team.ratePerSecond();
        return (long) (seconds * Duration.ofSeconds(1).toNanos());
    }

    /** Looks at the teams not used for longest; one that is still active moves to the end. */
    private void evictIdle(long now) {
        for (int i = 0; i < EVICTIONS_PER_CALL && !mTeams.isEmpty(); i++) {
            Iterator<Map.Entry<TeamId, TeamState>> eldest = mTeams.entrySet().iterator();
            Map.Entry<TeamId, TeamState> entry = eldest.next();
            if (entry.getValue().mOpen > 0) {
                mTeams.get(entry.getKey());
            } else if (now - entry.getValue().mForgetNanos >= 0) {
                eldest.remove();
            } else {
                return;
            }
        }
    }

    private static Refusal tooManyOpen(Team team) {
        return Refusal.notRun(
                RefusalReason.TEAM_CONCURRENCY,
                "team \"%s\" has %d unanswered requests at this entry, the most it may have"
                        .formatted(team.id(), team.maxConcurrent()),
                CONCURRENCY_RETRY_AFTER);
    }

    private static Refusal tooFast(Team team, Duration retryAfter) {
        return Refusal.notRun(
                RefusalReason.TEAM_RATE,
                "team \"%s\" sends more than %s requests a second to this entry"
                        .formatted(team.id(), team.ratePerSecond()),
                retryAfter);
    }

    private synchronized void end(TeamState state) {
        state.mOpen--;
    }

    /** What is known of one team. */
    private static final class TeamState {
        private final TokenBucket mBucket;
        private int mOpen;
        private long mForgetNanos;

        TeamState(TokenBucket bucket) {
            mBucket = bucket;
        }
    }

    /** An unanswered request. */
    private final class OpenRequest implements Admission {
        private final AtomicBoolean mOpen = new AtomicBoolean(true);
        private final TeamState mState;

        OpenRequest(TeamState state) {
            mState = state;
        }

        @Override
        public void close() {
            if (mOpen.compareAndSet(true, false)) {
                end(mState);
            }
        }
    }
}
