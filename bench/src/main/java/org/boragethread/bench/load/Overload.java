package org.boragethread.bench.load;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.boragethread.bench.report.Target;
import org.boragethread.standins.harness.Deployment;

/** The offered load exceeds the capacity of the group. */
final class Overload implements Scenario {

    private static final String TEAM = "bench";
    private static final double LOAD = 1.5;
    private static final double MIN_GOODPUT_SHARE = 0.9;
    private static final Duration WARM_UP = Duration.ofSeconds(5);

    @Override
    public String name() {
        return "overload";
    }

    @Override
    public void measure(Variant variant, LoadSettings settings, ScenarioResults results)
            throws IOException {
        double perSecond = LOAD * LoadDeployment.CAPACITY_PER_SECOND;
        List<LoadRun.TeamRate> load = List.of(new LoadRun.TeamRate(TEAM, perSecond));
        Duration total = WARM_UP.plus(settings.duration());
        try (Deployment deployment =
                Deployment.start(LoadDeployment.spec(variant, false, List.of(TEAM)))) {
            RunStatistics statistics = new LoadRun(deployment, load, settings.seed()).run(total);
            results.add(statistics, UpstreamTotals.of(deployment.upstreams()));
            long answers = statistics.attainedBetween(WARM_UP.toSeconds(), total.toSeconds());
            double goodput = answers / (double) settings.duration().toSeconds();
            double share = goodput / LoadDeployment.CAPACITY_PER_SECOND;
            results.addNote(
                    "goodput %.1f of %.1f requests/s", goodput, LoadDeployment.CAPACITY_PER_SECOND);
            results.addTarget(Target.atLeast("overload-goodput-share", share, MIN_GOODPUT_SHARE));
        }
    }
}
