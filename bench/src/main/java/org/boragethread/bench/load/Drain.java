package org.boragethread.bench.load;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.boragethread.bench.report.Target;
import org.boragethread.standins.harness.ConfigDocuments.SetDataCentreService;
import org.boragethread.standins.harness.Deployment;
import org.boragethread.standins.upstream.Upstream;

/** A data centre is taken out and put back by intent, with the rest sufficient. */
final class Drain implements Scenario {

    private static final String TEAM = "bench";
    private static final double LOAD = 0.4;
    private static final double OUT_AT = 0.2;
    private static final double BACK_AT = 0.8;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double LEAST_ATTAINMENT = 0.99;
    private static final double MOST_SECONDS_TO_LAST = 5;
    private static final Duration WARM_UP = Duration.ofSeconds(5);

    @Override
    public String name() {
        return "drain";
    }

    @Override
    public void measure(Variant variant, LoadSettings settings, Results results)
            throws IOException {
        double perSecond = LOAD * LoadDeployment.CAPACITY_PER_SECOND;
        List<LoadRun.TeamRate> load = List.of(new LoadRun.TeamRate(TEAM, perSecond));
        try (Deployment deployment =
                Deployment.start(LoadDeployment.spec(variant, false, List.of(TEAM)))) {
            new LoadRun(deployment, load, settings.seed()).run(WARM_UP);
            deployment.upstreams().forEach(Upstream::resetStats);
            LoadRun run = new LoadRun(deployment, load, settings.seed() + 1);
            long begin = System.nanoTime();
            CompletableFuture<Tally> running =
                    CompletableFuture.supplyAsync(() -> run.run(settings.duration()));
            Pause.until(begin, settings.duration(), OUT_AT);
            long stated = System.nanoTime();
            setService(deployment, "out");
            long last = lastWork(deployment, begin, settings.duration());
            double seconds = (last - stated) / NANOS_PER_SECOND;
            setService(deployment, "in");
            long atReturn = nearCalls(deployment);
            Tally tally = running.join();
            results.add(tally, UpstreamTotals.of(deployment.upstreams()));
            results.note("calls in it after its return %d", nearCalls(deployment) - atReturn);
            results.target(
                    Target.atLeast("drain-attainment", tally.attainment(), LEAST_ATTAINMENT));
            results.target(
                    Target.atMost("drain-seconds-to-last-work", seconds, MOST_SECONDS_TO_LAST));
        }
    }

    private static long lastWork(Deployment deployment, long begin, Duration duration) {
        long last = System.nanoTime();
        long calls = nearCalls(deployment);
        while (Pause.step(begin, duration, BACK_AT)) {
            long now = nearCalls(deployment);
            if (now > calls) {
                calls = now;
                last = System.nanoTime();
            }
        }
        return last;
    }

    private static long nearCalls(Deployment deployment) {
        long calls = 0;
        for (int i = 0; i < LoadDeployment.UPSTREAMS; i++) {
            if (LoadDeployment.dataCentre(i).equals(LoadDeployment.NEAR)) {
                calls += deployment.upstream(LoadDeployment.name(i)).stats().calls();
            }
        }
        return calls;
    }

    private static void setService(Deployment deployment, String service) {
        deployment
                .entries()
                .get(0)
                .operator()
                .apply(List.of(new SetDataCentreService(LoadDeployment.NEAR, service)), true);
    }
}
