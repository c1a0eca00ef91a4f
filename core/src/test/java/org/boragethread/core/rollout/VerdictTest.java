package org.boragethread.core.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.upstream.UpstreamId;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the verdict on simulated responses: by kind of badness, and its errors. */
public class VerdictTest {

    private static final Duration PERIOD = Duration.ofSeconds(60);
    private static final int STEP_MILLIS = 500;
    private static final double TRIAL_SHARE = 0.08;
    private static final double FORCED_SHARE = 0.9;
    private static final int ROUTES = 5;

    /** Share of bad responses, and factor of response times, of the target version. */
    private record Badness(double failures, double slowness, double from, boolean oneRoute) {}

    /**
     * What a trial came to.
     *
     * @param seconds time to the decision
     * @param bad bad responses until then
     */
    private record Outcome(RolloutPhase phase, double seconds, int bad) {}

    private static Outcome trial(
            Badness badness, double oldFailures, int requestsPerSecond, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ManualTimeSource time = new ManualTimeSource();
        ResponseCounter counter = new ResponseCounter(time);
        EvidenceReview review = new EvidenceReview();
        int bad = 0;
        double elapsed = 0;
        while (elapsed < 1) {
            time.advance(Duration.ofMillis(STEP_MILLIS));
            elapsed = (double) time.millis() / PERIOD.toMillis();
            for (int i = 0; i < requestsPerSecond * STEP_MILLIS / 1000; i++) {
                int route = random.nextInt(ROUTES);
                boolean isTarget = random.nextDouble() < TRIAL_SHARE;
                boolean isAffected =
                        isTarget
                                && elapsed >= badness.from()
                                && (!badness.oneRoute() || route == 0);
                bad += add(counter, route, isTarget, isAffected, badness, oldFailures, random);
            }
            review.update(counter.evidence(), time.millis(), elapsed);
            PhaseDecision.Situation situation =
                    new PhaseDecision.Situation(
                            elapsed, true, Duration.ZERO, false, false, true, false);
            RolloutState state = state();
            Optional<PhaseDecision.Step> step = PhaseDecision.next(state, review, situation);
            if (step.isPresent()) {
                return new Outcome(step.get().phase(), time.millis() / 1000.0, bad);
            }
        }
        return new Outcome(RolloutPhase.TRIAL, time.millis() / 1000.0, bad);
    }

    private static RolloutState state() {
        return RolloutState.begin(
                new RolloutRequest(RolloutSimulation.GROUP, RolloutSimulation.TARGET, PERIOD),
                0,
                1,
                List.of());
    }

    private static int add(
            ResponseCounter counter,
            int route,
            boolean isTarget,
            boolean isAffected,
            Badness badness,
            double oldFailures,
            SplittableRandom random) {
        VersionSide side = isTarget ? VersionSide.TARGET : VersionSide.OLD;
        boolean isFailure = random.nextDouble() < oldFailures;
        isFailure |= isAffected && random.nextDouble() < badness.failures();
        if (isFailure) {
            UpstreamId upstream = new UpstreamId(side.name().toLowerCase() + random.nextInt(20));
            counter.onFailure("route-" + route, side, upstream);
        } else {
            double spread = Math.exp(0.4 * random.nextGaussian());
            double factor = isAffected ? badness.slowness() : 1;
            counter.onResponse("route-" + route, side, OptionalDouble.of(spread * factor));
        }
        return isAffected && (isFailure || badness.slowness() > 1) ? 1 : 0;
    }

    @DataProvider
    public Object[][] badVersions() {
        return new Object[][] {
            {"failures at once", new Badness(0.3, 1, 0, false)},
            {"failures late", new Badness(0.3, 1, 0.4, false)},
            {"all fail", new Badness(1, 1, 0, false)},
            {"slow at once", new Badness(0, 4, 0, false)},
            {"slow late", new Badness(0, 4, 0.4, false)},
            {"failures on one route", new Badness(0.5, 1, 0, true)},
            {"slow on one route", new Badness(0, 4, 0, true)},
        };
    }

    /** Guards against kinds of badness that are not found within a trial, whatever the traffic. */
    @Test(dataProvider = "badVersions")
    public void badVersionIsRolledBack(String kind, Badness badness) {
        for (int requestsPerSecond : new int[] {40, 200}) {
            double seconds = 0;
            int bad = 0;
            int rolledBack = 0;
            for (long seed = 0; seed < 100; seed++) {
                Outcome outcome = trial(badness, 0.01, requestsPerSecond, seed);
                rolledBack += outcome.phase() == RolloutPhase.ROLLED_BACK ? 1 : 0;
                seconds += outcome.seconds() / 100;
                bad = Math.max(bad, outcome.bad());
            }
            Reporter.log(
                    "%s, %d/s: rolled back %d of 100, mean %.1f s, at most %d bad"
                            .formatted(kind, requestsPerSecond, rolledBack, seconds, bad),
                    true);
            assertTrue(rolledBack >= 99, kind + " rolled back: " + rolledBack);
        }
    }

    /** Guards against false roll-backs: the stated rate is one in 1,000. */
    @Test
    public void goodVersionIsHardlyEverRolledBack() {
        int rolledBack = 0;
        int switched = 0;
        for (long seed = 0; seed < 1000; seed++) {
            double oldFailures = seed % 4 * 0.01;
            int requestsPerSecond = seed % 2 == 0 ? 40 : 100;
            Outcome outcome =
                    trial(new Badness(0, 1, 0, false), oldFailures, requestsPerSecond, seed);
            rolledBack += outcome.phase() == RolloutPhase.ROLLED_BACK ? 1 : 0;
            switched += outcome.phase() == RolloutPhase.SWITCHING ? 1 : 0;
        }
        Reporter.log(
                "good: rolled back %d, switched %d of 1000".formatted(rolledBack, switched), true);
        assertTrue(rolledBack <= 1, "rolled back: " + rolledBack);
        assertEquals(switched, 1000 - rolledBack);
    }

    /** Guards against missed bad versions: the stated rate is one in 100. */
    @Test
    public void versionThatIsBadAsStatedIsHardlyEverMissed() {
        int missed = 0;
        for (long seed = 0; seed < 1000; seed++) {
            Outcome outcome = trial(new Badness(0.15, 1, 0, false), 0.01, 100, seed);
            missed += outcome.phase() == RolloutPhase.ROLLED_BACK ? 0 : 1;
        }
        Reporter.log("bad by 0.15: missed %d of 1000".formatted(missed), true);
        assertTrue(missed <= 10, "missed: " + missed);
    }

    /** Guards against decisions in a disruption that the version did not cause. */
    @Test
    public void nothingIsDecidedWhileBothVersionsFail() {
        for (long seed = 0; seed < 100; seed++) {
            Outcome outcome = trial(new Badness(0, 1, 0, false), 0.5, 100, seed);
            assertTrue(outcome.seconds() > FORCED_SHARE * PERIOD.toSeconds(), "seed " + seed);
        }
    }
}
