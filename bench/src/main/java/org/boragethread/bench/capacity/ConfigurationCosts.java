package org.boragethread.bench.capacity;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import org.boragethread.core.config.ConfigCodec;
import org.boragethread.core.config.ConfigRecord;
import org.boragethread.core.config.ConfigSnapshotPart;
import org.boragethread.core.config.ConfigStateMachine;
import org.boragethread.core.config.SnapshotFormat;
import org.boragethread.core.log.LogRecord;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.config.Plan;

/**
 * Measures the size of the configuration in memory, snapshots and records, and the CPU time to
 * write, read and apply it.
 */
final class ConfigurationCosts {

    private static final int[] TEAMS = {1250, 2500, 5000, 10000, 20000};
    private static final int[] CHANGES = {1, 10, 100, 1000};
    private static final int ROUNDS = 5;
    private static final int RETAINED_TEAMS = 100_000;
    private static final int APPLIED_RECORDS = 500;
    private static final int PART_BYTES = 200 * 1024;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double NANOS_PER_MILLI = 1e6;

    private final LineFit mHeap = new LineFit();
    private final LineFit mJson = new LineFit();
    private final LineFit mCompressed = new LineFit();
    private final LineFit mWrite = new LineFit();
    private final LineFit mRead = new LineFit();
    private final LineFit mApply = new LineFit();
    private final LineFit mRecord = new LineFit();

    void run() {
        for (int round = 0; round < 2; round++) {
            for (int teams : TEAMS) {
                measureSnapshot(teams);
                mApply.add(teams, applyMicros(teams));
            }
        }
        Configuration base = SampleConfigs.ofTeams(TEAMS[0]);
        for (int changes : CHANGES) {
            mRecord.add(changes, data(SampleConfigs.plan(base, "intent", changes)).length);
        }
        print();
    }

    private void print() {
        mHeap.print("configuration in memory", "teams", "bytes");
        mJson.print("configuration as JSON", "teams", "bytes");
        mCompressed.print("snapshot, compressed", "teams", "bytes");
        mWrite.print("write a snapshot", "teams", "CPU ms");
        mRead.print("read a snapshot", "teams", "CPU ms");
        mApply.print("apply a record of one change", "teams", "CPU µs");
        mRecord.print("record", "changes", "bytes");
    }

    private void measureSnapshot(int teams) {
        Configuration configuration = SampleConfigs.ofTeams(teams);
        byte[] json = ConfigCodec.writeConfiguration(configuration);
        List<ConfigSnapshotPart> parts = SnapshotFormat.split(configuration, PART_BYTES);
        mJson.add(teams, json.length);
        mCompressed.add(teams, parts.stream().mapToInt(p -> p.data().length).sum());
        long start = cpuNanos();
        for (int i = 0; i < ROUNDS; i++) {
            SnapshotFormat.split(configuration, PART_BYTES);
        }
        mWrite.add(teams, (cpuNanos() - start) / NANOS_PER_MILLI / ROUNDS);
        mHeap.add(teams, heapBytes(parts, teams));
    }

    private double heapBytes(List<ConfigSnapshotPart> parts, int teams) {
        List<Configuration> retained = new ArrayList<>();
        int copies = RETAINED_TEAMS / teams;
        long start = cpuNanos();
        for (int i = 0; i < copies; i++) {
            retained.add(SnapshotFormat.join(parts).get());
        }
        mRead.add(teams, (cpuNanos() - start) / NANOS_PER_MILLI / copies);
        long usedBytes = HeapUsage.usedBytes();
        retained.clear();
        return (double) (usedBytes - HeapUsage.usedBytes()) / copies;
    }

    private static double applyMicros(int teams) {
        Configuration configuration = SampleConfigs.ofTeams(teams);
        long applyNanos = 0;
        for (int i = 0; i < APPLIED_RECORDS; i++) {
            Plan plan = SampleConfigs.plan(configuration, "intent-" + i, 1);
            long offset = configuration.revision() + 1;
            LogRecord record = new LogRecord(offset, offset, "plan-" + plan.id(), data(plan));
            long start = cpuNanos();
            configuration = ConfigStateMachine.apply(configuration, record).configuration();
            applyNanos += cpuNanos() - start;
        }
        return applyNanos / NANOS_PER_MICRO / APPLIED_RECORDS;
    }

    private static long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static byte[] data(Plan plan) {
        return ConfigCodec.writeRecord(new ConfigRecord.Confirmation(plan));
    }
}
