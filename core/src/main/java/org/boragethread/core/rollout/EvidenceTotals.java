package org.boragethread.core.rollout;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.boragethread.model.upstream.UpstreamId;

/**
 * Sum of the evidence of all entries on one order: the newest report of each start of each entry,
 * so that nothing is counted twice and the responses of entries that ended still count. Not
 * thread-safe.
 */
final class EvidenceTotals {

    private final Map<Incarnation, EntryReport> mNewest = new HashMap<>();
    private final Map<Incarnation, Map<UpstreamFailures, Long>> mReported = new HashMap<>();
    private final Map<Crash, Long> mCounted = new HashMap<>();
    private final Map<String, Map<VersionSide, Long>> mExcess = new HashMap<>();

    void add(EntryReport report) {
        Incarnation entry = new Incarnation(report.address(), report.startedAt());
        EntryReport known = mNewest.get(entry);
        if (known != null && known.sequence() >= report.sequence()) {
            return;
        }
        mNewest.put(entry, report);
        Map<UpstreamFailures, Long> reported = mReported.getOrDefault(entry, Map.of());
        Map<UpstreamFailures, Long> next = new HashMap<>();
        for (UpstreamFailures failures : report.evidence().failures()) {
            UpstreamFailures key = failures.withoutCount();
            next.put(key, failures.count());
            admit(failures, failures.count() - reported.getOrDefault(key, 0L));
        }
        mReported.put(entry, next);
    }

    /** Limits the failures of one crash over all entries; what was counted once stays so. */
    private void admit(UpstreamFailures failures, long added) {
        Crash crash = new Crash(failures.upstream(), failures.second());
        long before = mCounted.getOrDefault(crash, 0L);
        long counted = Math.max(0, Math.min(added, UpstreamFailures.MAX_COUNT - before));
        mCounted.put(crash, before + counted);
        mExcess.computeIfAbsent(failures.route(), key -> new EnumMap<>(VersionSide.class))
                .merge(failures.side(), Math.max(0, added - counted), Long::sum);
    }

    RolloutEvidence sum() {
        Map<String, Map<VersionSide, long[]>> sums = new HashMap<>();
        for (EntryReport report : mNewest.values()) {
            addTo(sums, report.evidence());
        }
        Map<String, Map<VersionSide, VersionCounts>> counts = new HashMap<>();
        sums.forEach(
                (route, sides) -> {
                    Map<VersionSide, VersionCounts> copy = new EnumMap<>(VersionSide.class);
                    sides.forEach((side, sum) -> copy.put(side, limited(route, side, sum)));
                    counts.put(route, copy);
                });
        return new RolloutEvidence(counts);
    }

    private VersionCounts limited(String route, VersionSide side, long[] sum) {
        long excess = mExcess.getOrDefault(route, Map.of()).getOrDefault(side, 0L);
        VersionCounts counts = VersionCounts.fromArray(sum);
        return new VersionCounts(
                counts.responses(),
                Math.max(0, counts.failures() - excess),
                counts.allFailures(),
                counts.times());
    }

    private static void addTo(
            Map<String, Map<VersionSide, long[]>> sums, RolloutEvidence evidence) {
        for (String route : evidence.routes()) {
            Map<VersionSide, long[]> sides =
                    sums.computeIfAbsent(route, key -> new EnumMap<>(VersionSide.class));
            for (VersionSide side : VersionSide.values()) {
                long[] sum =
                        sides.computeIfAbsent(side, key -> new long[VersionCounts.ARRAY_LENGTH]);
                evidence.counts(route, side).addTo(sum);
            }
        }
    }

    /** Failures of an upstream within a second. */
    private record Crash(UpstreamId upstream, long second) {}

    /** One start of an entry. */
    private record Incarnation(String address, long startedAt) {}
}
