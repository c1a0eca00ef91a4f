package org.boragethread.bench.load;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.boragethread.bench.client.OpenLoop;
import org.boragethread.bench.client.TimedClient;
import org.boragethread.standins.harness.Deployment;

/** Sends requests of several teams to the entries of a deployment in round-robin order. */
final class LoadRun {

    private final Deployment mDeployment;
    private final List<TeamRate> mTeams;
    private final SplittableRandom mRandom;
    private final long mSeed;
    private final TimedClient mClient = new TimedClient();

    LoadRun(Deployment deployment, List<TeamRate> teams, long seed) {
        mDeployment = deployment;
        mTeams = teams;
        mSeed = seed;
        mRandom = new SplittableRandom(seed).split();
    }

    /**
     * The request rate of a team.
     *
     * @param team name of the team
     * @param perSecond requests per second
     */
    record TeamRate(String team, double perSecond) {}

    /** Sends requests for the duration and waits until all have ended. */
    RunStatistics run(Duration duration) {
        RunStatistics statistics = new RunStatistics();
        long begin = System.nanoTime();
        new OpenLoop(totalRate(), duration, mSeed)
                .run((number, intended) -> call(statistics, number, begin, intended));
        return statistics;
    }

    private CompletableFuture<?> call(
            RunStatistics statistics, int number, long begin, long intended) {
        statistics.recordStart(System.nanoTime() - intended);
        String team = chooseTeam();
        byte[] body = ("request " + number).getBytes(StandardCharsets.UTF_8);
        List<String> entries = mDeployment.callerAddresses();
        String entry = entries.get(number % entries.size());
        Map<String, String> headers =
                Map.of("Team", team, "Deadline-Ms", Long.toString(LoadDeployment.DEADLINE_MS));
        return mClient.post(entry, "/v1/pipelines/" + LoadDeployment.PIPELINE, body, headers)
                .handle(
                        (timed, failure) -> {
                            statistics.recordEnd(team, begin, intended, timed, body);
                            return timed;
                        });
    }

    private String chooseTeam() {
        double point = mRandom.nextDouble() * totalRate();
        for (TeamRate team : mTeams) {
            point -= team.perSecond();
            if (point < 0) {
                return team.team();
            }
        }
        return mTeams.get(0).team();
    }

    private double totalRate() {
        return mTeams.stream().mapToDouble(TeamRate::perSecond).sum();
    }
}
