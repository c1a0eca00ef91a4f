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

/**
 * Prints the size and duration of snapshots, loading and updates for increasing numbers of teams.
 */
public final class ConfigScale {

    private static final int[] TEAMS = {1000, 5000, 10_000, 20_000};
    private static final int CHANGES_PER_PLAN = 250;
    private static final int ROUNDS = 5;
    private static final int APPLIED_RECORDS = 1000;
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
        List<ConfigSnapshotPart> parts = SnapshotFormat.split(now, 240 * 1024);
        int compressed = parts.stream().mapToInt(p -> p.data().length).sum();
        double write = millis(() -> SnapshotFormat.split(now, 240 * 1024));
        double load = millis(() -> SnapshotFormat.join(parts).get());
        double hash = millis(() -> ConfigCodec.hashOf(now));
        return "%d %d %d %d %.1f %.1f %.1f %.1f"
                .formatted(
                        teams,
                        raw.length,
                        compressed,
                        parts.size(),
                        write,
                        load,
                        hash,
                        applyMicros(now));
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

    /** Returns the shortest duration of {@link #ROUNDS} runs, in milliseconds. */
    private static double millis(Runnable work) {
        long best = Long.MAX_VALUE;
        for (int i = 0; i < ROUNDS; i++) {
            long start = System.nanoTime();
            work.run();
            best = Math.min(best, System.nanoTime() - start);
        }
        return best / 1e6;
    }

    /** Returns the time to apply a record that changes one team, in microseconds. */
    private static double applyMicros(Configuration start) {
        List<LogRecord> records = new ArrayList<>();
        Configuration now = start;
        for (int i = 0; i < APPLIED_RECORDS; i++) {
            Plan plan =
                    TestConfigs.plan(now, "change-" + i, TestConfigs.team("team-number-" + i, 9));
            LogRecord record = TestConfigs.record(now.revision() + 1, plan);
            records.add(record);
            now = ConfigStateMachine.apply(now, record).configuration();
        }
        return millis(() -> applyAll(start, records)) * 1000 / APPLIED_RECORDS;
    }

    private static void applyAll(Configuration start, List<LogRecord> records) {
        Configuration now = start;
        for (LogRecord record : records) {
            now = ConfigStateMachine.apply(now, record).configuration();
        }
    }
}
