package org.boragethread.bench.capacity;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.UUID;
import org.boragethread.core.claim.ClaimRecord;
import org.boragethread.core.claim.ClaimSettings;
import org.boragethread.core.claim.ClaimTable;
import org.boragethread.core.claim.KeyHash;
import org.boragethread.model.claim.ClaimTarget;
import org.boragethread.model.outcome.RequestId;
import org.boragethread.model.place.EntryId;
import org.boragethread.model.team.TeamId;
import org.boragethread.model.upstream.UpstreamId;

/** Measures the record size and the heap use of a claim and the CPU time to apply it. */
final class ClaimCosts {

    private static final int[] CLAIMS = {6250, 12500, 25000, 50000, 100000};
    private static final double NANOS_PER_MICRO = 1e3;

    private final LineFit mHeap = new LineFit();
    private final LineFit mApply = new LineFit();
    private final LineFit mRecord = new LineFit();

    void run() {
        for (int round = 0; round < 2; round++) {
            for (int claims : CLAIMS) {
                measure(claims);
            }
        }
        mRecord.print("claim records, data only", "claims", "bytes");
        mHeap.print("claim state in memory", "claims", "bytes");
        mApply.print("decode and apply claims", "claims", "CPU µs");
    }

    private void measure(int claims) {
        ClaimTable table = table();
        long bytes = 0;
        long applyNanos = 0;
        for (int i = 0; i < claims; i++) {
            byte[] data = ClaimTable.CODEC.encode(claim(i));
            bytes += data.length;
            String id = new UUID(i, i).toString();
            long start = cpuNanos();
            table.apply(0, i, i, id, data);
            applyNanos += cpuNanos() - start;
        }
        if (table.size() != claims) {
            throw new IllegalStateException("the claim table does not hold all claims");
        }
        mRecord.add(claims, bytes);
        mApply.add(claims, applyNanos / NANOS_PER_MICRO);
        long usedBytes = HeapUsage.usedBytes();
        table.restart(0, claims);
        mHeap.add(claims, usedBytes - HeapUsage.usedBytes());
    }

    private static ClaimTable table() {
        return new ClaimTable(
                ClaimSettings.builder().partitions(1).retention(Duration.ofHours(12)).build());
    }

    private static ClaimRecord claim(int number) {
        KeyHash key = KeyHash.of(new TeamId("team-%05d".formatted(number)), "order-" + number);
        UUID request = new UUID(key.low(), key.high());
        ClaimTarget target =
                new ClaimTarget(
                        new UpstreamId("dispatch-%04d".formatted(number % 1000)), key.low());
        EntryId entry = new EntryId("entry-%04d".formatted(number % 1200));
        return new ClaimRecord.Claim(key, key.high(), RequestId.of(request), entry, 2, target);
    }

    private static long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
