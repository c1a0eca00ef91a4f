package org.boragethread.bench.load;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.boragethread.bench.report.Target;
import org.boragethread.standins.harness.Deployment;
import org.boragethread.standins.upstream.Upstream;
import org.boragethread.standins.upstream.UpstreamFaults;

/** One of eight upstreams becomes slow. */
final class SlowUpstream implements Scenario {

    private static final String TEAM = "bench";
    private static final double LOAD = 0.8;
    private static final double SLOW_FACTOR = 5;
    private static final double MIN_ATTAINMENT = 0.99;
    private static final double MAX_WASTED_SHARE = 0.03;
    private static final Duration WARM_UP = Duration.ofSeconds(5);

    @Override
    public String name() {
        return "slow-upstream";
    }

    @Override
    public void measure(Variant variant, LoadSettings settings, ScenarioResults results)
            throws IOException {
        double perSecond = LOAD * LoadDeployment.CAPACITY_PER_SECOND;
        List<LoadRun.TeamRate> load = List.of(new LoadRun.TeamRate(TEAM, perSecond));
        try (Deployment deployment =
                Deployment.start(LoadDeployment.spec(variant, false, List.of(TEAM)))) {
            new LoadRun(deployment, load, settings.seed()).run(WARM_UP);
            UpstreamFaults slow = UpstreamFaults.NONE.withSlowFactor(SLOW_FACTOR);
            deployment.upstream(LoadDeployment.name(0)).setFaults(slow);
            deployment.upstreams().forEach(Upstream::resetStats);
            RunStatistics statistics =
                    new LoadRun(deployment, load, settings.seed() + 1).run(settings.duration());
            UpstreamTotals totals = UpstreamTotals.of(deployment.upstreams());
            results.add(statistics, totals);
            results.addTarget(
                    Target.atLeast("slow-attainment", statistics.attainment(), MIN_ATTAINMENT));
            double wasted = totals.wastedShare(statistics.attained());
            results.addTarget(Target.atMost("slow-wasted-share", wasted, MAX_WASTED_SHARE));
        }
    }
}
