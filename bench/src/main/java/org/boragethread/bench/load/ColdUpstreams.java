package org.boragethread.bench.load;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.boragethread.bench.report.Target;
import org.boragethread.standins.harness.Deployment;
import org.boragethread.standins.upstream.Upstream;

/** All upstreams start cold under full load; then one turns cold without announcing it. */
final class ColdUpstreams implements Scenario {

    private static final String TEAM = "bench";
    private static final double LOAD = 1;
    private static final double COLD_AT_FRACTION = 0.3;

    @Override
    public String name() {
        return "cold";
    }

    @Override
    public void measure(Variant variant, LoadSettings settings, ScenarioResults results)
            throws IOException {
        double perSecond = LOAD * LoadDeployment.CAPACITY_PER_SECOND;
        List<LoadRun.TeamRate> load = List.of(new LoadRun.TeamRate(TEAM, perSecond));
        try (Deployment deployment =
                Deployment.start(LoadDeployment.spec(variant, true, List.of(TEAM)))) {
            RunStatistics start =
                    new LoadRun(deployment, load, settings.seed()).run(settings.duration());
            UpstreamTotals atStart = UpstreamTotals.of(deployment.upstreams());
            results.addNote("all start cold");
            results.add("start", start, atStart);
            results.addTarget(Target.atMost("cold-start-excess-calls", atStart.coldExcess(), 0));
            deployment.upstreams().forEach(Upstream::resetStats);
            LoadRun run = new LoadRun(deployment, load, settings.seed() + 1);
            long begin = System.nanoTime();
            CompletableFuture<RunStatistics> running =
                    CompletableFuture.supplyAsync(() -> run.run(settings.duration()));
            RunTimer.awaitFraction(begin, settings.duration(), COLD_AT_FRACTION);
            Upstream upstream = deployment.upstream(LoadDeployment.name(0));
            results.addNote("it turns cold with %d calls in it", upstream.stats().concurrent());
            upstream.goCold();
            RunStatistics statistics = running.join();
            UpstreamTotals after = UpstreamTotals.of(deployment.upstreams());
            results.addNote("one turns cold");
            results.add("turn", statistics, after);
            results.addNote(
                    "excess in it %d, in the others %d",
                    upstream.stats().coldExcess(),
                    after.coldExcess() - upstream.stats().coldExcess());
            results.addTarget(Target.atMost("turns-cold-excess-calls", after.coldExcess(), 0));
        }
    }
}
