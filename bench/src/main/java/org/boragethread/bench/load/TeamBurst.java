package org.boragethread.bench.load;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.boragethread.bench.report.Target;
import org.boragethread.standins.harness.Deployment;
import org.boragethread.standins.upstream.Upstream;

/** A large team sends three times its fair share while four small teams stay below theirs. */
final class TeamBurst implements Scenario {

    private static final String LARGE = "large";
    private static final List<String> SMALL = List.of("small-1", "small-2", "small-3", "small-4");
    private static final double SMALL_SHARE_FACTOR = 0.8;
    private static final double LARGE_SHARE_FACTOR = 3;
    private static final double MIN_ATTAINMENT = 0.98;
    private static final Duration WARM_UP = Duration.ofSeconds(5);

    @Override
    public String name() {
        return "team-burst";
    }

    @Override
    public void measure(Variant variant, LoadSettings settings, ScenarioResults results)
            throws IOException {
        List<String> teams = new ArrayList<>(SMALL);
        teams.add(LARGE);
        double share = LoadDeployment.CAPACITY_PER_SECOND / teams.size();
        List<LoadRun.TeamRate> load = new ArrayList<>();
        SMALL.forEach(team -> load.add(new LoadRun.TeamRate(team, SMALL_SHARE_FACTOR * share)));
        List<LoadRun.TeamRate> warmUpLoad = List.copyOf(load);
        load.add(new LoadRun.TeamRate(LARGE, LARGE_SHARE_FACTOR * share));
        try (Deployment deployment = Deployment.start(LoadDeployment.spec(variant, false, teams))) {
            new LoadRun(deployment, warmUpLoad, settings.seed()).run(WARM_UP);
            deployment.upstreams().forEach(Upstream::resetStats);
            RunStatistics statistics =
                    new LoadRun(deployment, load, settings.seed() + 1).run(settings.duration());
            results.add(statistics, UpstreamTotals.of(deployment.upstreams()));
            teams.forEach(team -> results.addNote("%s %.4f", team, statistics.attainment(team)));
            double lowest =
                    SMALL.stream().mapToDouble(statistics::attainment).min().orElse(Double.NaN);
            results.addTarget(Target.atLeast("burst-small-attainment", lowest, MIN_ATTAINMENT));
        }
    }
}
