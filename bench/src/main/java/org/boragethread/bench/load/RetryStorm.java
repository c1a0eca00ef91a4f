package org.boragethread.bench.load;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.boragethread.bench.report.Target;
import org.boragethread.standins.harness.Deployment;
import org.boragethread.standins.upstream.Upstream;
import org.boragethread.standins.upstream.UpstreamFaults;

/** All upstreams fail half of their calls. */
final class RetryStorm implements Scenario {

    private static final String TEAM = "bench";
    private static final double LOAD = 0.4;
    private static final double FAIL_RATE = 0.5;
    private static final double MAX_CALLS_SHARE = 1.1;
    private static final Duration WARM_UP = Duration.ofSeconds(5);

    @Override
    public String name() {
        return "retry-storm";
    }

    @Override
    public void measure(Variant variant, LoadSettings settings, ScenarioResults results)
            throws IOException {
        double perSecond = LOAD * LoadDeployment.CAPACITY_PER_SECOND;
        List<LoadRun.TeamRate> load = List.of(new LoadRun.TeamRate(TEAM, perSecond));
        try (Deployment deployment =
                Deployment.start(LoadDeployment.spec(variant, false, List.of(TEAM)))) {
            new LoadRun(deployment, load, settings.seed()).run(WARM_UP);
            UpstreamFaults failing = UpstreamFaults.NONE.withFailRate(FAIL_RATE);
            deployment.upstreams().forEach(upstream -> upstream.setFaults(failing));
            deployment.upstreams().forEach(Upstream::resetStats);
            RunStatistics statistics =
                    new LoadRun(deployment, load, settings.seed() + 1).run(settings.duration());
            UpstreamTotals totals = UpstreamTotals.of(deployment.upstreams());
            results.add(statistics, totals);
            double share = totals.calls() / (double) statistics.offered();
            results.addTarget(Target.atMost("storm-calls-share", share, MAX_CALLS_SHARE));
        }
    }
}
