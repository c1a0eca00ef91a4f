package org.boragethread.core.stage;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.function.Consumer;
import org.testng.annotations.Test;

/**
 * Loads three groups of stages in a row, of which the last is the narrowest and the last two have
 * little memory for results.
 */
public class ChainLoadTest {

    private static final int SEEDS = 12;
    private static final Duration DAY = Duration.ofSeconds(30);
    private static final Duration DRAIN = Duration.ofSeconds(10);

    /** Target for days without trouble: the share that is served, and here in time. */
    private static final double CALM_TARGET = 0.98;

    /** Target for bursts of a third more than the narrowest group can do. */
    private static final double BURST_TARGET = 0.75;

    private static double earned(Consumer<ChainLoad> arrivals) {
        double sum = 0;
        StringBuilder runs = new StringBuilder();
        for (int seed = 1; seed <= SEEDS; seed++) {
            ChainLoad load = new ChainLoad(seed);
            load.arrive(ChainLoad.Kind.DRAFT, 7.15, Duration.ZERO, DAY);
            load.arrive(ChainLoad.Kind.SUMMARY, 3, Duration.ZERO, DAY);
            load.arrive(ChainLoad.Kind.CAPTION, 7.6, Duration.ZERO, DAY);
            arrivals.accept(load);
            load.run(DAY.plus(DRAIN));
            runs.append("seed ").append(seed).append(": ").append(load.summary()).append('\n');
            sum += load.earned();
        }
        System.out.print(runs);
        return sum / SEEDS;
    }

    /** Pattern: three quarters of what the narrowest group can do. */
    @Test
    public void steadyLoadIsServedInTime() {
        double earned = earned(load -> {});
        assertTrue(earned >= CALM_TARGET, "earned " + earned);
    }

    /**
     * Pattern: for five seconds more long requests come than can be served. Those that are served
     * must end in time, rather than all of them a little too late.
     */
    @Test
    public void burstOfLongRequestsDoesNotMakeAllOfThemLate() {
        Duration length = Duration.ofMillis(5100);
        double earned =
                earned(
                        load -> {
                            load.arrive(ChainLoad.Kind.DRAFT, 10.7, Duration.ofSeconds(5), length);
                            load.arrive(
                                    ChainLoad.Kind.SUMMARY, 4.2, Duration.ofSeconds(16), length);
                        });
        assertTrue(earned >= BURST_TARGET, "earned " + earned);
    }
}
