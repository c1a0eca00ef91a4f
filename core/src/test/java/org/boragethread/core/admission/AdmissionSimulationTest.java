package org.boragethread.core.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.boragethread.core.breaker.BreakerAdmissionController;
import org.boragethread.core.breaker.BreakerEvents;
import org.boragethread.core.breaker.CircuitBreaker;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.team.Priority;
import org.boragethread.model.team.TeamId;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.GroupKind;
import org.boragethread.model.upstream.UpstreamGroup;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Simulates one admission controller in front of one upstream, with open-loop arrivals on a manual
 * clock.
 */
public class AdmissionSimulationTest {

    private static final Duration DEADLINE = Duration.ofSeconds(1);
    private static final int COLD_LIMIT = 2;
    private static final int MAX_LIMIT = 16;
    private static final double CAPACITY = SimulatedUpstream.CALLS_PER_SECOND;

    private ManualTimeSource mTime;
    private SplittableRandom mRandom;
    private SimulatedUpstream mUpstream;
    private AdmissionController mController;

    @BeforeMethod
    public void start() {
        mTime = new ManualTimeSource();
        mRandom = new SplittableRandom(17);
        useUpstream(0, SimulatedUpstream.CAPACITY);
    }

    private void useUpstream(int callsToWarmUp, int coldLimit) {
        mUpstream = new SimulatedUpstream(mTime, mRandom, callsToWarmUp);
        UpstreamGroup group =
                new UpstreamGroup(
                        new GroupId("crews"), GroupKind.PLAIN, coldLimit, MAX_LIMIT, false);
        mController =
                new BreakerAdmissionController(
                        new AdaptiveAdmissionController.Builder(mTime, mTime, group).build(),
                        new CircuitBreaker(mTime, mRandom, BreakerEvents.NONE),
                        AdmissionEvents.NONE);
    }

    /** Poisson arrivals of calls of one team. */
    private final class Arrivals {
        private final TeamId mTeam;
        private int mOffered;
        private int mInTime;

        Arrivals(String team, double perSecond, Duration length) {
            mTeam = new TeamId(team);
            double at = 0;
            double end = length.toNanos() / 1e9;
            while (at < end) {
                at += -Math.log(1 - mRandom.nextDouble()) / perSecond;
                mTime.schedule(Duration.ofNanos((long) (at * 1e9)), this::offer);
            }
        }

        private void offer() {
            mOffered++;
            long deadline = mTime.nanoTime() + DEADLINE.toNanos();
            mController.requestAdmission(
                    new AdmissionRequest(mTeam, 1, Priority.NORMAL, deadline),
                    new AdmissionController.Listener() {
                        @Override
                        public void onAdmitted(AdmissionController.Permit permit) {
                            run(permit, deadline);
                        }

                        @Override
                        public void onRefused(Refusal refusal) {}
                    });
        }

        private void run(AdmissionController.Permit permit, long deadline) {
            long start = mTime.nanoTime();
            mUpstream.call(
                    (outcome, latency) -> {
                        permit.complete(outcome, mTime.since(start));
                        if (outcome == CallOutcome.GOOD && mTime.nanoTime() <= deadline) {
                            mInTime++;
                        }
                    });
        }

        double successShare() {
            return mInTime / (double) mOffered;
        }
    }

    @Test
    public void burstOfALargeTeamDoesNotAffectSmallTeams() {
        Duration length = Duration.ofSeconds(30);
        List<Arrivals> small = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            small.add(new Arrivals("small-" + i, CAPACITY * 0.1, length));
        }
        Arrivals large = new Arrivals("large", CAPACITY * 3, length);
        mTime.advance(length.plus(DEADLINE));
        for (Arrivals team : small) {
            assertTrue(team.successShare() >= 0.98, "small team " + team.successShare());
        }
        int inTime = large.mInTime + small.stream().mapToInt(team -> team.mInTime).sum();
        assertTrue(inTime >= 0.9 * CAPACITY * length.toSeconds(), "goodput " + inTime);
    }

    @Test
    public void goodputStaysNearCapacityUnderOverload() {
        Duration length = Duration.ofSeconds(30);
        Arrivals arrivals = new Arrivals("patrol", CAPACITY * 1.5, length);
        mTime.advance(length.plus(DEADLINE));
        double goodput = arrivals.mInTime / (CAPACITY * length.toSeconds());
        assertTrue(goodput >= 0.9, "goodput " + goodput);
    }

    @Test
    public void coldStartUnderFullLoadNeverOverloadsTheUpstream() {
        useUpstream(100, COLD_LIMIT);
        new Arrivals("patrol", CAPACITY, Duration.ofSeconds(20));
        mTime.advance(Duration.ofSeconds(20));
        assertEquals(mUpstream.coldExcess(), 0);
        assertTrue(mController.load().limit() >= SimulatedUpstream.CAPACITY);
    }

    @Test
    public void warmUpSlowsDownAfterEachBreakdownOfAColdUpstream() {
        // A warm-up step needs 67 responses here, so doubling the default of 32 twice is enough.
        useUpstream(400, COLD_LIMIT);
        new Arrivals("patrol", CAPACITY, Duration.ofSeconds(60));
        mTime.advance(Duration.ofSeconds(60));
        assertTrue(mUpstream.coldExcess() <= 2, "excess " + mUpstream.coldExcess());
        assertTrue(mController.load().limit() >= SimulatedUpstream.CAPACITY);
    }

    @Test
    public void upstreamThatBecomesColdIsDetectedByItsFirstFailure() {
        useUpstream(100, COLD_LIMIT);
        new Arrivals("patrol", CAPACITY * 0.7, Duration.ofSeconds(60));
        mTime.advance(Duration.ofSeconds(30));
        mUpstream.becomeCold();
        mTime.advance(Duration.ofSeconds(30));
        assertTrue(mUpstream.coldExcess() <= 1, "excess " + mUpstream.coldExcess());
        assertTrue(mController.load().limit() >= SimulatedUpstream.CAPACITY);
    }
}
