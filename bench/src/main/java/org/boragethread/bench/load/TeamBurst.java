package org.boragethread.bench.load;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.boragethread.bench.report.Target;
import org.boragethread.standins.harness.Deployment;
import org.boragethread.standins.upstream.Upstream;

/** One large team offers three times its share beside four small ones. */
final class TeamBurst implements Scenario {

    private static final String LARGE = "large";
    private static final List<String> SMALL = List.of("small-1", "small-2", "small-3", "small-4");
    private static final double SMALL_OF_SHARE = 0.8;
    private static final double LARGE_OF_SHARE = 3;
    private static final double LEAST_ATTAINMENT = 0.98;
    private static final Duration WARM_UP = Duration.ofSeconds(5);

    @Override
    public String name() {
        return "team-burst";
    }

    @Override
    public void measure(Variant variant, LoadSettings settings, Results results)
            throws IOException {
        List<String> teams = new ArrayList<>(SMALL);
        teams.add(LARGE);
        double share = LoadDeployment.CAPACITY_PER_SECOND / teams.size();
        List<LoadRun.TeamRate> load = new ArrayList<>();
        SMALL.forEach(team -> load.add(new LoadRun.TeamRate(team, SMALL_OF_SHARE * share)));
        List<LoadRun.TeamRate> before = List.copyOf(load);
        load.add(new LoadRun.TeamRate(LARGE, LARGE_OF_SHARE * share));
        try (Deployment deployment = Deployment.start(LoadDeployment.spec(variant, false, teams))) {
            new LoadRun(deployment, before, settings.seed()).run(WARM_UP);
            deployment.upstreams().forEach(Upstream::resetStats);
            Tally tally =
                    new LoadRun(deployment, load, settings.seed() + 1).run(settings.duration());
            results.add(tally, UpstreamTotals.of(deployment.upstreams()));
            teams.forEach(team -> results.note("%s %.4f", team, tally.attainment(team)));
            double least = SMALL.stream().mapToDouble(tally::attainment).min().orElse(Double.NaN);
            results.target(Target.atLeast("burst-small-attainment", least, LEAST_ATTAINMENT));
        }
    }
}
