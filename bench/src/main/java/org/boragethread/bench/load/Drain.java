package org.boragethread.bench.load;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.boragethread.bench.report.Target;
import org.boragethread.standins.harness.ConfigDocuments.SetDataCentreService;
import org.boragethread.standins.harness.Deployment;
import org.boragethread.standins.upstream.Upstream;

/** An operator takes a data centre out of service and back; the other one has enough capacity. */
final class Drain implements Scenario {

    private static final String TEAM = "bench";
    private static final double LOAD = 0.4;
    private static final double OUT_AT_FRACTION = 0.2;
    private static final double BACK_AT_FRACTION = 0.8;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MIN_ATTAINMENT = 0.99;
    private static final double MAX_SECONDS_TO_LAST_CALL = 5;
    private static final Duration WARM_UP = Duration.ofSeconds(5);

    @Override
    public String name() {
        return "drain";
    }

    @Override
    public void measure(Variant variant, LoadSettings settings, ScenarioResults results)
            throws IOException {
        double perSecond = LOAD * LoadDeployment.CAPACITY_PER_SECOND;
        List<LoadRun.TeamRate> load = List.of(new LoadRun.TeamRate(TEAM, perSecond));
        try (Deployment deployment =
                Deployment.start(LoadDeployment.spec(variant, false, List.of(TEAM)))) {
            new LoadRun(deployment, load, settings.seed()).run(WARM_UP);
            deployment.upstreams().forEach(Upstream::resetStats);
            LoadRun run = new LoadRun(deployment, load, settings.seed() + 1);
            long begin = System.nanoTime();
            CompletableFuture<RunStatistics> running =
                    CompletableFuture.supplyAsync(() -> run.run(settings.duration()));
            RunTimer.awaitFraction(begin, settings.duration(), OUT_AT_FRACTION);
            long requested = System.nanoTime();
            setService(deployment, "out");
            long last = lastCallNanos(deployment, begin, settings.duration());
            double seconds = (last - requested) / NANOS_PER_SECOND;
            setService(deployment, "in");
            long atReturn = drainedCalls(deployment);
            RunStatistics statistics = running.join();
            results.add(statistics, UpstreamTotals.of(deployment.upstreams()));
            results.addNote("calls in it after its return %d", drainedCalls(deployment) - atReturn);
            results.addTarget(
                    Target.atLeast("drain-attainment", statistics.attainment(), MIN_ATTAINMENT));
            results.addTarget(
                    Target.atMost("drain-seconds-to-last-work", seconds, MAX_SECONDS_TO_LAST_CALL));
        }
    }

    private static long lastCallNanos(Deployment deployment, long begin, Duration duration) {
        long last = System.nanoTime();
        long calls = drainedCalls(deployment);
        while (RunTimer.awaitPoll(begin, duration, BACK_AT_FRACTION)) {
            long now = drainedCalls(deployment);
            if (now > calls) {
                calls = now;
                last = System.nanoTime();
            }
        }
        return last;
    }

    private static long drainedCalls(Deployment deployment) {
        long calls = 0;
        for (int i = 0; i < LoadDeployment.UPSTREAMS; i++) {
            if (LoadDeployment.dataCentre(i).equals(LoadDeployment.DRAINED_DATA_CENTRE)) {
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
                .apply(
                        List.of(
                                new SetDataCentreService(
                                        LoadDeployment.DRAINED_DATA_CENTRE, service)),
                        true);
    }
}
