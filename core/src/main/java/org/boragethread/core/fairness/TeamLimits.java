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
 * Limits each team's request rate and its number of concurrent requests at one entry. The rate
 * limit is a token bucket that holds the tokens of one second, but at least one token.
 *
 * <p>A team without open requests whose bucket would be full again is evicted, so memory use is
 * proportional to the number of active teams, not of all teams. One lock guards the table.
 */
public final class TeamLimits implements TeamAdmission {

    private static final double BUCKET_SECONDS = 1;
    private static final int MAX_EVICTION_CHECKS = 2;
    private static final Duration CONCURRENCY_RETRY_AFTER = Duration.ofMillis(100);

    private final TimeSource mTime;
    // Ordered from least to most recently used.
    private final Map<TeamId, TeamState> mTeams = new LinkedHashMap<>(16, 0.75f, true);

    /** Creates an empty table. */
    public TeamLimits(TimeSource time) {
        mTime = Objects.requireNonNull(time, "time");
    }

    @Override
    public synchronized Either<Refusal, Admission> tryAdmit(Team team) {
        long now = mTime.nanoTime();
        evictIdle(now);
        double bucketSize = bucketSize(team);
        TeamState state =
                mTeams.computeIfAbsent(
                        team.id(), id -> new TeamState(new TokenBucket(bucketSize, now)));
        state.mBucket.refill(team.ratePerSecond(), bucketSize, now);
        state.mEvictableNanos = now + refillNanos(team, bucketSize);
        if (state.mOpen >= team.maxConcurrent()) {
            return Either.left(concurrencyExceeded(team));
        }
        if (!state.mBucket.hasToken()) {
            return Either.left(
                    rateExceeded(team, state.mBucket.timeUntilToken(team.ratePerSecond())));
        }
        state.mBucket.take();
        state.mOpen++;
        return Either.right(new OpenRequest(state));
    }

    /** Returns the number of teams held in memory. */
    public synchronized int size() {
        return mTeams.size();
    }

    private static double bucketSize(Team team) {
        return Math.max(1, team.ratePerSecond() * BUCKET_SECONDS);
    }

    private static long refillNanos(Team team, double bucketSize) {
        double seconds = bucketSize / team.ratePerSecond();
        return (long) (seconds * Duration.ofSeconds(1).toNanos());
    }

    /**
     * Evicts idle teams, starting with the least recently used. A team with open requests is moved
     * to the end of the order.
     */
    private void evictIdle(long now) {
        for (int i = 0; i < MAX_EVICTION_CHECKS && !mTeams.isEmpty(); i++) {
            Iterator<Map.Entry<TeamId, TeamState>> eldest = mTeams.entrySet().iterator();
            Map.Entry<TeamId, TeamState> entry = eldest.next();
            if (entry.getValue().mOpen > 0) {
                mTeams.get(entry.getKey());
            } else if (now - entry.getValue().mEvictableNanos >= 0) {
                eldest.remove();
            } else {
                return;
            }
        }
    }

    private static Refusal concurrencyExceeded(Team team) {
        return Refusal.notRun(
                RefusalReason.TEAM_CONCURRENCY,
                "team \"%s\" has %d unanswered requests at this entry, the most it may have"
                        .formatted(team.id(), team.maxConcurrent()),
                CONCURRENCY_RETRY_AFTER);
    }

    private static Refusal rateExceeded(Team team, Duration retryAfter) {
        return Refusal.notRun(
                RefusalReason.TEAM_RATE,
                "team \"%s\" sends more than %s requests a second to this entry"
                        .formatted(team.id(), team.ratePerSecond()),
                retryAfter);
    }

    private synchronized void release(TeamState state) {
        state.mOpen--;
    }

    /** Limiter state of one team. */
    private static final class TeamState {
        private final TokenBucket mBucket;
        private int mOpen;
        private long mEvictableNanos;

        TeamState(TokenBucket bucket) {
            mBucket = bucket;
        }
    }

    /** An admitted request that has not been answered yet. */
    private final class OpenRequest implements Admission {
        private final AtomicBoolean mActive = new AtomicBoolean(true);
        private final TeamState mState;

        OpenRequest(TeamState state) {
            mState = state;
        }

        @Override
        public void close() {
            if (mActive.compareAndSet(true, false)) {
                release(mState);
            }
        }
    }
}
