package org.boragethread.core.stage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.boragethread.core.callback.Supervisors;
import org.boragethread.core.retry.SharedRetryBudget;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.routing.BatchLimits;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what {@link SharedStagePolicy} remembers of the past, with one simulated upstream. */
public class SharedStagePolicyTest {

    private static final int BATCH = 7;
    private static final int RESULT_BYTES = 60_000;
    private static final Duration DEADLINE = Duration.ofSeconds(6);
    private static final Duration HELD = Duration.ofMillis(700);

    private final List<String> mDone = new ArrayList<>();
    private final List<Duration> mDelays = new ArrayList<>();
    private ManualTimeSource mTime;
    private SimUpstreams mUpstreams;
    private BatchScheduler mScheduler;

    /** The upstream has memory for the given number of results. */
    private void use(int results) {
        BatchLimits limits =
                new BatchLimits(
                        1,
                        2,
                        BATCH,
                        Duration.ofMillis(150),
                        Duration.ofMillis(18),
                        (long) results * RESULT_BYTES,
                        Duration.ofSeconds(4));
        mTime = new ManualTimeSource();
        mUpstreams = new SimUpstreams(mTime, limits, "north");
        mScheduler =
                new BatchScheduler(
                        mUpstreams,
                        mUpstreams,
                        new SharedRetryBudget(mTime, 0, Duration.ofSeconds(10), () -> 100),
                        mTime,
                        mTime,
                        Supervisors.rethrowing(),
                        new SharedStagePolicy(new IgnoringObserver()));
    }

    @BeforeMethod
    public void clear() {
        mDone.clear();
        mDelays.clear();
        use(1000);
    }

    private void submit(String team, int pieces, int targetMillis) {
        submit(team, pieces, targetMillis, DEADLINE);
    }

    private void submit(String team, int pieces, int targetMillis, Duration timeout) {
        long now = mTime.nanoTime();
        long target = now + Duration.ofMillis(targetMillis).toNanos();
        PieceUrgency urgency = new PieceUrgency(0, target, false, false, team, false);
        Stage stage = new Stage(team, pieces);
        List<PendingPiece> pending = new ArrayList<>();
        for (int number = 0; number < pieces; number++) {
            long deadline = now + timeout.toNanos();
            PieceWork work =
                    new PieceWork(team, 0, number, deadline, "", RESULT_BYTES, Optional.empty());
            pending.add(new PendingPiece(work, urgency, Optional.empty(), stage, now));
        }
        mScheduler.submit(pending);
    }

    private void run(int millis) {
        mTime.advance(Duration.ofMillis(millis));
    }

    /**
     * Guards against an idle minute that counts as the time for which a result is held: the second
     * stage after it was rejected for half a minute.
     */
    @Test
    public void idleTimeIsNotCountedAsTimeThatResultsStay() {
        use(4);
        submit("a", 3, 5000);
        run(60_000);
        submit("a", 3, 5000);
        submit("a", 3, 5000);
        run(5000);
        assertEquals(mDelays, List.of());
        assertEquals(mDone.size(), 3);
    }

    /**
     * Guards against rejections at the beginning of a burst after an idle minute: results seemed to
     * stay for four seconds, as none of the burst had been freed yet.
     */
    @Test
    public void beginningOfABurstCausesNoRejectionForMemory() {
        use(8);
        submit("a", 3, 5000);
        run(60_000);
        submit("a", BATCH, 5000);
        run(100);
        submit("a", BATCH, 2500, Duration.ofSeconds(3));
        run(5000);
        assertEquals(mDelays, List.of());
        assertEquals(mDone.size(), 3);
    }

    /** Guards against rejected stages that are told to return at once, while others arrive. */
    @Test
    public void rejectedStagesReturnAfterAFullCallAtLeast() {
        Duration fullCall = mUpstreams.limits().orElseThrow().expectedTime(BATCH);
        for (int i = 0; i < 20; i++) {
            submit("in time", 4, 5000);
            submit("rejected", 1, 50, Duration.ofMillis(100));
            run(200);
        }
        assertEquals(mDelays.size(), 20);
        for (Duration delay : mDelays) {
            assertTrue(delay.compareTo(fullCall) >= 0, "delay " + delay);
        }
    }

    /**
     * Guards against a team whose stages wait behind all those of another one because it was given
     * more before an idle time: the other one had a late stage, which was sent last.
     */
    @Test
    public void teamsStartEvenOnceNothingHasWaited() {
        submit("other", BATCH, 0);
        submit("other", BATCH, 0);
        for (int i = 0; i < 6; i++) {
            submit("early", BATCH, 5000);
        }
        run(60_000);
        mDone.clear();
        for (int i = 0; i < 3; i++) {
            submit("other", BATCH, 5000);
        }
        for (int i = 0; i < 3; i++) {
            submit("early", BATCH, 5000);
        }
        run(5000);
        assertEquals(mDone, List.of("other", "other", "early", "other", "early", "early"));
    }

    /** Frees the results of one stage some time after it is complete. */
    private final class Stage implements PieceListener {

        private final String mTeam;
        private final List<ResultLocation> mLocations = new ArrayList<>();
        private final int mPieces;

        Stage(String team, int pieces) {
            mTeam = team;
            mPieces = pieces;
        }

        @Override
        public void onCompleted(PieceWork work, ResultLocation location) {
            mLocations.add(location);
            if (mLocations.size() == mPieces) {
                mDone.add(mTeam);
                mTime.schedule(HELD, this::free);
            }
        }

        private void free() {
            List<String> handles = mLocations.stream().map(ResultLocation::handle).toList();
            mUpstreams.free(mUpstreams.upstreams().get(0), handles);
            mScheduler.dispatch();
        }

        @Override
        public void onFailed(PieceWork work, StageFailure failure) {
            failure.delay().ifPresent(mDelays::add);
        }
    }
}
