package org.boragethread.bench.load;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.boragethread.bench.report.Target;
import org.boragethread.standins.harness.Deployment;

/** The group is offered more than it can answer. */
final class Overload implements Scenario {

    private static final String TEAM = "bench";
    private static final double LOAD = 1.5;
    private static final double LEAST_GOODPUT = 0.9;
    private static final Duration WARM_UP = Duration.ofSeconds(5);

    @Override
    public String name() {
        return "overload";
    }

    @Override
    public void measure(Variant variant, LoadSettings settings, Results results)
            throws IOException {
        double perSecond = LOAD * LoadDeployment.CAPACITY_PER_SECOND;
        List<LoadRun.TeamRate> load = List.of(new LoadRun.TeamRate(TEAM, perSecond));
        Duration whole = WARM_UP.plus(settings.duration());
        try (Deployment deployment =
                Deployment.start(LoadDeployment.spec(variant, false, List.of(TEAM)))) {
            Tally tally = new LoadRun(deployment, load, settings.seed()).run(whole);
            results.add(tally, UpstreamTotals.of(deployment.upstreams()));
            long answers = tally.goodEnds(WARM_UP.toSeconds(), whole.toSeconds());
            double goodput = answers / (double) settings.duration().toSeconds();
            double share = goodput / LoadDeployment.CAPACITY_PER_SECOND;
            results.note(
                    "goodput %.1f of %.1f requests/s", goodput, LoadDeployment.CAPACITY_PER_SECOND);
            results.target(Target.atLeast("overload-goodput-share", share, LEAST_GOODPUT));
        }
    }
}
