package org.boragethread.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.boragethread.core.log.LogRecord;
import org.boragethread.model.config.Change;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.config.Plan;
import org.boragethread.model.team.Team;
import org.boragethread.model.team.TeamId;

/** Prints size and processor time of snapshots, bootstrap and fold for growing team counts. */
public final class ConfigScale {

    private static final int[] TEAMS = {1000, 5000, 10_000, 20_000};
    private static final int CHANGES_PER_PLAN = 250;
    private static final int ROUNDS = 5;
    private static final int FOLDED = 1000;
    private static final long SEED = 5;

    private ConfigScale() {}

    /** Prints one line for each number of teams. */
    public static void main(String[] args) {
        measure(TEAMS[0]);
        System.out.println("teams rawBytes packedBytes parts writeMs loadMs hashMs foldUs");
        for (int teams : TEAMS) {
            System.out.println(measure(teams));
        }
    }

    private static String measure(int teams) {
        Configuration now = teams(teams);
        byte[] raw = ConfigCodec.writeConfiguration(now);
        List<ConfigSnapshot> parts = SnapshotFormat.split(now, 240 * 1024);
        int packed = parts.stream().mapToInt(p -> p.data().length).sum();
        double write = millis(() -> SnapshotFormat.split(now, 240 * 1024));
        double load = millis(() -> SnapshotFormat.join(parts).get());
        double hash = millis(() -> ConfigCodec.hashOf(now));
        return "%d %d %d %d %.1f %.1f %.1f %.1f"
                .formatted(
                        teams,
                        raw.length,
                        packed,
                        parts.size(),
                        write,
                        load,
                        hash,
                        foldMicros(now));
    }

    private static Configuration teams(int count) {
        Random random = new Random(SEED);
        Configuration now = TestConfigs.base();
        List<Change> changes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            changes.add(team("team-number-" + i, random));
            if (changes.size() == CHANGES_PER_PLAN) {
                now = TestConfigs.accept(now, "teams-" + i, changes.toArray(Change[]::new));
                changes.clear();
            }
        }
        return now;
    }

    private static Change team(String name, Random random) {
        int concurrent = 1 + random.nextInt(200);
        return new Change.PutTeam(
                new Team(
                        new TeamId(name),
                        1 + random.nextInt(10),
                        1 + random.nextInt(500),
                        concurrent));
    }

    /** Returns the least time of some rounds, in milliseconds. */
    private static double millis(Runnable work) {
        long best = Long.MAX_VALUE;
        for (int i = 0; i < ROUNDS; i++) {
            long began = System.nanoTime();
            work.run();
            best = Math.min(best, System.nanoTime() - began);
        }
        return best / 1e6;
    }

    /** Returns the time to fold a record that changes one team, in microseconds. */
    private static double foldMicros(Configuration start) {
        List<LogRecord> records = new ArrayList<>();
        Configuration now = start;
        for (int i = 0; i < FOLDED; i++) {
            Plan plan =
                    TestConfigs.plan(now, "change-" + i, TestConfigs.team("team-number-" + i, 9));
            LogRecord record = TestConfigs.record(now.revision() + 1, plan);
            records.add(record);
            now = ConfigFold.apply(now, record).configuration();
        }
        return millis(() -> foldAll(start, records)) * 1000 / FOLDED;
    }

    private static void foldAll(Configuration start, List<LogRecord> records) {
        Configuration now = start;
        for (LogRecord record : records) {
            now = ConfigFold.apply(now, record).configuration();
        }
    }
}
