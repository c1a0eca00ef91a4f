package org.boragethread.core.stage;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests scheduling under load on three groups whose stages depend on each other. The last group has
 * the least capacity, and the last two have little memory for results.
 */
public class ChainLoadTest {

    private static final int SEEDS = 12;
    private static final Duration LOAD_TIME = Duration.ofSeconds(30);
    private static final Duration DRAIN_TIME = Duration.ofSeconds(10);

    /** Least share of the possible value under steady load, where requests should be in time. */
    private static final double STEADY_TARGET = 0.98;

    /**
     * Least share of the possible value when bursts exceed the last group's capacity by a third.
     */
    private static final double BURST_TARGET = 0.75;

    /** Largest share of large results that may be moved to another data centre. */
    private static final double REMOTE_BOUND = 0.1;

    @DataProvider
    public Object[][] policies() {
        Supplier<StagePolicy> local = LocalStagePolicy::new;
        Supplier<StagePolicy> shared = () -> new SharedStagePolicy(new IgnoringObserver());
        return new Object[][] {{local}, {shared}};
    }

    private static double meanAchievedShare(
            Supplier<StagePolicy> policies, Consumer<ChainLoad> additionalLoad) {
        double sum = 0;
        StringBuilder runs = new StringBuilder();
        for (int seed = 1; seed <= SEEDS; seed++) {
            ChainLoad load = new ChainLoad(ChainLoad.Deployment.THREE_DATA_CENTRES, policies, seed);
            load.scheduleArrivals(ChainLoad.Kind.DRAFT, 7.15, Duration.ZERO, LOAD_TIME);
            load.scheduleArrivals(ChainLoad.Kind.SUMMARY, 3, Duration.ZERO, LOAD_TIME);
            load.scheduleArrivals(ChainLoad.Kind.CAPTION, 7.6, Duration.ZERO, LOAD_TIME);
            additionalLoad.accept(load);
            load.run(LOAD_TIME.plus(DRAIN_TIME));
            runs.append("seed ").append(seed).append(": ").append(load.summary()).append('\n');
            sum += load.achievedShare();
        }
        System.out.print(runs);
        return sum / SEEDS;
    }

    /** The load is three quarters of the last group's capacity. */
    @Test(dataProvider = "policies")
    public void steadyLoadIsServedInTime(Supplier<StagePolicy> policies) {
        double share = meanAchievedShare(policies, load -> {});
        assertTrue(share >= STEADY_TARGET, "achieved share " + share);
    }

    /**
     * For five seconds, more long requests arrive than can be served. Guards against a scheduler
     * that serves all of them slightly too late instead of some in time.
     */
    @Test(dataProvider = "policies")
    public void burstOfLongRequestsDoesNotMakeAllOfThemLate(Supplier<StagePolicy> policies) {
        Duration length = Duration.ofMillis(5100);
        double share =
                meanAchievedShare(
                        policies,
                        load -> {
                            load.scheduleArrivals(
                                    ChainLoad.Kind.DRAFT, 10.7, Duration.ofSeconds(5), length);
                            load.scheduleArrivals(
                                    ChainLoad.Kind.SUMMARY, 4.2, Duration.ofSeconds(16), length);
                        });
        assertTrue(share >= BURST_TARGET, "achieved share " + share);
    }

    /**
     * The most urgent requests leave time for two calls only, and their results are large. Guards
     * against waits for the data centre of the results that are shorter than a call, which moved a
     * third of the results, and against waits that make requests late.
     */
    @Test(dataProvider = "policies")
    public void burstOfRequestsWithShortTargetIsServedInTimeWhereItsResultsAreUsed(
            Supplier<StagePolicy> policies) {
        double inTime = 0;
        double remote = 0;
        Duration length = Duration.ofMillis(5400);
        for (int seed = 1; seed <= SEEDS; seed++) {
            ChainLoad load = new ChainLoad(ChainLoad.Deployment.FOUR_DATA_CENTRES, policies, seed);
            load.scheduleArrivals(ChainLoad.Kind.DIGEST, 19.8, Duration.ZERO, LOAD_TIME);
            load.scheduleArrivals(ChainLoad.Kind.NOTICE, 23.4, Duration.ZERO, LOAD_TIME);
            load.scheduleArrivals(ChainLoad.Kind.DIGEST, 29.7, Duration.ofSeconds(13), length);
            load.run(LOAD_TIME.plus(DRAIN_TIME));
            System.out.printf("seed %d: %s%n", seed, load.summary());
            inTime += load.count(ChainLoad.Kind.DIGEST).inTimeShare() / SEEDS;
            remote += load.remoteShare() / SEEDS;
        }
        assertTrue(inTime >= STEADY_TARGET, "share in time " + inTime);
        assertTrue(remote <= REMOTE_BOUND, "share of large results made elsewhere " + remote);
    }
}
