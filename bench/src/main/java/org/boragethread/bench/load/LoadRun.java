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

/** Offers requests of several teams to the entries of a deployment, in turn. */
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
     * A team and what it offers.
     *
     * @param team name of the team
     * @param perSecond requests a second
     */
    record TeamRate(String team, double perSecond) {}

    /** Offers load for some time and waits for the ends of all requests. */
    Tally run(Duration duration) {
        Tally tally = new Tally();
        long begin = System.nanoTime();
        new OpenLoop(total(), duration, mSeed)
                .run((number, intended) -> call(tally, number, begin, intended));
        return tally;
    }

    private CompletableFuture<?> call(Tally tally, int number, long begin, long intended) {
        tally.countStart(System.nanoTime() - intended);
        String team = pick();
        byte[] body = ("request " + number).getBytes(StandardCharsets.UTF_8);
        List<String> entries = mDeployment.callerAddresses();
        String entry = entries.get(number % entries.size());
        Map<String, String> headers =
                Map.of("Team", team, "Deadline-Ms", Long.toString(LoadDeployment.DEADLINE_MS));
        return mClient.post(entry, "/v1/pipelines/" + LoadDeployment.PIPELINE, body, headers)
                .handle(
                        (timed, failure) -> {
                            tally.countEnd(team, begin, intended, timed, body);
                            return timed;
                        });
    }

    private String pick() {
        double point = mRandom.nextDouble() * total();
        for (TeamRate team : mTeams) {
            point -= team.perSecond();
            if (point < 0) {
                return team.team();
            }
        }
        return mTeams.get(0).team();
    }

    private double total() {
        return mTeams.stream().mapToDouble(TeamRate::perSecond).sum();
    }
}
